// Package admission refuses requests that an entry VM cannot serve: a body that is too large, too many waiting requests, or a
// deadline that cannot be met.
package admission

import (
	"time"

	"example.org/comfreyrouter/errkind"
)

// Options are the limits on the requests that an entry VM accepts.
type Options struct {
	MaxBodyBytes    int // maximum size of a request body, in bytes
	MaxWaiting      int // maximum number of waiting requests per pool
	MaxWaitingBytes int // maximum total size of the bodies of waiting requests, in bytes
}

// DefaultOptions returns limits for a small entry VM.
func DefaultOptions() Options {
	return Options{MaxBodyBytes: 1 << 20, MaxWaiting: 2000, MaxWaitingBytes: 24 << 20}
}

// Load is what an entry VM already holds when a request arrives, with the time estimates for that request.
type Load struct {
	Waiting      int // requests that wait for a slot of the pool
	WaitingBytes int // total size of the bodies of all waiting requests, in bytes
	// StartDelay is the estimated time until a request of this team would start.
	StartDelay time.Duration
	// RunTime is the estimated run time of the request.
	RunTime time.Duration
	// DeclaredOnly is set if the times come from a declaration only, not from finished tasks. A declaration can be far off, so it
	// never causes a refusal: a queue whose declared run time is too long would otherwise never run a task that corrects it.
	DeclaredOnly bool
}

// Check returns nil if the request may wait, and otherwise an error whose kind is the reason for the refusal.
func Check(o Options, load Load, bodyBytes int, timeLeft time.Duration) error {
	switch {
	case bodyBytes > o.MaxBodyBytes:
		return errkind.New(errkind.BodyTooLarge, "the body has %d bytes, more than %d", bodyBytes, o.MaxBodyBytes)
	case timeLeft <= 0:
		return errkind.New(errkind.DeadlinePast, "the deadline passed %v ago", -timeLeft)
	case load.Waiting >= o.MaxWaiting:
		return errkind.New(errkind.QueueFull, "%d requests are waiting", load.Waiting)
	case load.WaitingBytes+bodyBytes > o.MaxWaitingBytes:
		return errkind.New(errkind.QueueFull, "%d bytes of requests are waiting", load.WaitingBytes)
	case !load.DeclaredOnly && load.StartDelay+load.RunTime > timeLeft:
		return errkind.New(errkind.DeadlineTooClose, "needs about %v, and has %v", load.StartDelay+load.RunTime, timeLeft)
	}
	return nil
}

// Backlog is the work in a pool when a request arrives.
type Backlog struct {
	Ahead int // waiting requests that start before the new one, on all entry VMs
	Free  int // free slots
	Slots int // slots that serve these requests: the team's share of the pool, or the whole pool
	// RunTime is the mean run time of these requests.
	RunTime time.Duration
}

// StartDelay estimates the time until a new request starts, on the assumption that a busy pool frees one slot every RunTime/Slots.
func StartDelay(b Backlog) time.Duration {
	slotsNeeded := b.Ahead + 1 - max(b.Free, 0)
	if slotsNeeded <= 0 {
		return 0
	}
	return time.Duration(slotsNeeded) * b.RunTime / time.Duration(max(b.Slots, 1))
}
