// Package loadshed decides whether a job is accepted or turned away, and when its caller should come back. It answers one load pattern: a service
// whose turn it is gets several times its mean for some seconds, more than its servers hold. If all of it is accepted, every job waits behind
// the ones before it, and after a second none is on time. A job that can't be on time behind what is accepted already is refused at once,
// so that the caller knows, and what is accepted stays on time. It has no clock and does no I/O.
//
// Work is counted in servers times time: a task's share of a server, by the resource of which it takes most, times its run time.
package loadshed

import (
	"hash/fnv"
	"time"
)

const (
	// packing is the share of the servers' room that tasks of different sizes fill.
	packing = 0.85
	// lateBearable is how long a service may have to work on accepted jobs that can't be on time before it refuses others. A short peak is done in the
	// lull after it, and the wait is only an estimate: without it 4% were refused on a day on which all could be served.
	lateBearable = 2 * time.Second
	// returnLeast and returnMost bound when a caller is asked to come back, and returnSpread is how far callers are spread beyond it.
	returnLeast  = time.Second
	returnMost   = 10 * time.Second
	returnSpread = 2 * time.Second
	// unknownWait is taken for the wait at a service that has no server.
	unknownWait = 5 * time.Second
)

// ServiceLoad is what a service has to do and can do.
type ServiceLoad struct {
	Backlog         time.Duration // work of the accepted jobs that wait and can be on time, on one server
	LateBacklog     time.Duration // work of the accepted jobs that wait and can't be on time any more, on one server
	WaitingDemand   float64       // servers that the tasks fill that could start now
	Servers         float64       // that run tasks which end by themselves, in whole servers
	FreeServers     float64       // part of them on which nothing runs
	ArrivingServers float64       // servers that come within ComesIn
	ArrivingIn      time.Duration
}

// overrun reports whether more jobs are late than the service gets done soon.
func (s ServiceLoad) overrun() bool {
	servers := (s.Servers + s.ArrivingServers) * packing
	return s.LateBacklog > time.Duration(servers*float64(lateBearable))
}

// EstimatedWait returns how long the accepted work takes before the turn of a new job whose first tasks fill a part of a server.
func (s ServiceLoad) EstimatedWait(needs float64) time.Duration {
	if s.WaitingDemand+needs <= s.FreeServers*packing {
		return 0
	}
	now := s.Servers * packing
	later := now + s.ArrivingServers*packing
	if later <= 0 {
		return unknownWait
	}
	before := time.Duration(now * float64(s.ArrivingIn)) // what is done before the coming servers are there
	if s.ArrivingServers <= 0 || s.Backlog <= before {
		if now <= 0 {
			return unknownWait
		}
		return time.Duration(float64(s.Backlog) / now)
	}
	return s.ArrivingIn + time.Duration(float64(s.Backlog-before)/later)
}

// Job is what is known of a job that a caller wants to hand in.
type Job struct {
	ID           string
	CriticalPath time.Duration // its longest chain of steps
	Demand       float64       // servers that its first tasks fill
	Objective    time.Duration // from when the caller first asked
	Elapsed      time.Duration // how long ago that was
	// OverShare says that its workspace sends more than it is owed.
	OverShare bool
	// ScheduledRetry says that the caller was turned away before and comes as it was told.
	ScheduledRetry bool
}

// Reason says why a job is turned away.
type Reason string

// The closed list of reasons.
const (
	NoRoomInTime Reason = "no_room_in_time" // it would be late behind the jobs that are accepted
	OverShare    Reason = "over_share"      // its workspace sends more than it is owed while others wait
)

// Verdict is a decision.
type Verdict struct {
	Accepted bool
	Reason   Reason        // if the job isn't accepted
	Return   time.Duration // when the caller should come back, if the job isn't accepted
}

// Decide decides on a job at a service.
func Decide(s ServiceLoad, j Job) Verdict {
	wait := s.EstimatedWait(j.Demand)
	if wait == 0 || !s.overrun() {
		return Verdict{Accepted: true}
	}
	if j.OverShare {
		return Verdict{Reason: OverShare, Return: returnAfter(wait, j.ID)}
	}
	left := j.Objective - j.CriticalPath
	if !j.ScheduledRetry {
		left -= j.Elapsed
	}
	if wait <= left {
		return Verdict{Accepted: true}
	}
	return Verdict{Reason: NoRoomInTime, Return: returnAfter(wait-max(left, 0), j.ID)}
}

// returnAfter returns when a caller should come back if there is room after a time.
func returnAfter(room time.Duration, id string) time.Duration {
	return min(max(room, returnLeast), returnMost) + Jitter(id, returnSpread)
}

// Jitter returns by how much later a caller comes, so that those who were turned away together don't come back together.
func Jitter(id string, over time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes every write
	return time.Duration(h.Sum32()%uint32(over/time.Millisecond)) * time.Millisecond
}
