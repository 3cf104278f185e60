// Package admission refuses early what an entry VM cannot serve: too large, too many, or too late.
package admission

import (
	"time"

	"example.org/comfreyrouter/errkind"
)

// Options bound what an entry VM holds.
type Options struct {
	MaxBody         int // largest body of a request, in bytes
	MaxWaiting      int // largest number of waiting requests per pool
	MaxWaitingBytes int // largest sum of the bodies of waiting requests, in bytes
}

// DefaultOptions suit a small entry VM.
func DefaultOptions() Options {
	return Options{MaxBody: 1 << 20, MaxWaiting: 2000, MaxWaitingBytes: 24 << 20}
}

// Load is the state of the entry VM that a request meets.
type Load struct {
	Waiting      int // waiting requests of the pool
	WaitingBytes int // bytes of all waiting requests
	// StartDelay is the estimated time until a request of this team would start.
	StartDelay time.Duration
	// RunTime is the estimated time that the request runs.
	RunTime time.Duration
	// DeclaredOnly is set if the times come from a declaration only. Declarations can be far off, so they refuse nothing: a queue
	// whose declared run time is too long would never run a task that corrects it.
	DeclaredOnly bool
}

// Check returns nil for a request that may wait, and otherwise an error of the kind that says why it was not run.
func Check(o Options, load Load, bodyBytes int, timeLeft time.Duration) error {
	switch {
	case bodyBytes > o.MaxBody:
		return errkind.New(errkind.BodyTooLarge, "the body has %d bytes, more than %d", bodyBytes, o.MaxBody)
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

// Backlog is the work that a request meets in its pool.
type Backlog struct {
	Ahead int // waiting requests that start before it, on all entry VMs
	Free  int // free slots
	Slots int // slots that serve these requests: the team's part of the pool, or the whole pool
	// RunTime is the mean run time of these requests.
	RunTime time.Duration
}

// StartDelay estimates the time until a request starts. When all slots are taken, one becomes free every RunTime/Slots.
func StartDelay(b Backlog) time.Duration {
	turns := b.Ahead + 1 - max(b.Free, 0)
	if turns <= 0 {
		return 0
	}
	return time.Duration(turns) * b.RunTime / time.Duration(max(b.Slots, 1))
}
