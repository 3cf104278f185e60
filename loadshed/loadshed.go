// Package loadshed decides whether a job is accepted or rejected, and when a rejected caller should retry. It is meant for demand peaks of a
// few seconds in which one service receives several times its mean load, more than its servers can handle. If every job were accepted, each
// would wait behind all earlier ones, and after about a second none would meet its deadline. A job that can't meet its deadline behind the
// jobs that are accepted already is rejected at once, so that its caller knows and the accepted jobs stay on time. The package reads no clock
// and does no I/O.
//
// Work is measured in server time: a task's share of a server, by the resource of which it needs the largest share, times its run time.
package loadshed

import (
	"hash/fnv"
	"time"
)

const (
	// packingEfficiency is the share of the servers' capacity that tasks of different sizes can fill.
	packingEfficiency = 0.85
	// maxLateDrain is how long a service may need to work through its accepted jobs that can't be on time before it rejects others. A short peak is
	// cleared in the lull after it, and the wait is only an estimate: without this tolerance 4% of the jobs were rejected on a day on which all
	// could be served.
	maxLateDrain = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after which a rejected caller should retry, and retryJitter is the largest jitter added to it.
	minRetryDelay = time.Second
	maxRetryDelay = 10 * time.Second
	retryJitter   = 2 * time.Second
	// waitWithoutServers is the assumed wait at a service that has no server.
	waitWithoutServers = 5 * time.Second
)

// ServiceLoad describes the accepted work of a service and its capacity.
type ServiceLoad struct {
	Backlog         time.Duration // server time of the waiting accepted jobs that can still be on time
	LateBacklog     time.Duration // server time of the waiting accepted jobs that can't be on time any more
	WaitingDemand   float64       // number of servers that the tasks that could start now would fill
	Servers         float64       // capacity for tasks that end by themselves, in whole servers
	FreeServers     float64       // part of Servers on which nothing runs
	ArrivingServers float64       // servers that become available within ArrivingIn
	ArrivingIn      time.Duration
	Returning       time.Duration // server time of the rejected jobs whose callers have been told to retry and haven't yet
	ReturningOver   time.Duration // the same of those rejected because their workspaces send more than their shares; not part of Returning
}

// drainTime returns how long the service's servers take for an amount of work.
func (s ServiceLoad) drainTime(work time.Duration) time.Duration {
	servers := (s.Servers + s.ArrivingServers) * packingEfficiency
	if servers <= 0 {
		return 0
	}
	return time.Duration(float64(work) / servers)
}

// overloaded reports whether the service has more late work than it can finish within maxLateDrain.
func (s ServiceLoad) overloaded() bool {
	servers := (s.Servers + s.ArrivingServers) * packingEfficiency
	return s.LateBacklog > time.Duration(servers*float64(maxLateDrain))
}

// EstimatedWait returns how long a new job waits behind the accepted work. The demand is the number of servers that the job's first tasks fill.
func (s ServiceLoad) EstimatedWait(demand float64) time.Duration {
	if s.WaitingDemand+demand <= s.FreeServers*packingEfficiency {
		return 0
	}
	now := s.Servers * packingEfficiency
	later := now + s.ArrivingServers*packingEfficiency
	if later <= 0 {
		return waitWithoutServers
	}
	doneBefore := time.Duration(now * float64(s.ArrivingIn)) // work finished before the arriving servers are available
	if s.ArrivingServers <= 0 || s.Backlog <= doneBefore {
		if now <= 0 {
			return waitWithoutServers
		}
		return time.Duration(float64(s.Backlog) / now)
	}
	return s.ArrivingIn + time.Duration(float64(s.Backlog-doneBefore)/later)
}

// Job describes a job that a caller wants to submit.
type Job struct {
	ID           string
	CriticalPath time.Duration // run time of its longest chain of steps
	Demand       float64       // number of servers that its first tasks fill
	Objective    time.Duration // largest time from the caller's first request to the end of the job
	Elapsed      time.Duration // time since the caller's first request
	// OverShare reports whether its workspace sends more than its share.
	OverShare bool
	// ScheduledRetry reports whether the caller was rejected before and retries at the time that it was given.
	ScheduledRetry bool
}

// Reason says why a job is rejected.
type Reason string

// All reasons for a rejection.
const (
	NoCapacityInTime Reason = "no_room_in_time" // it would be late behind the accepted jobs
	OverShare        Reason = "over_share"      // its workspace sends more than its share while others wait
)

// Verdict is the result of an admission decision.
type Verdict struct {
	Accepted bool
	Reason   Reason        // set if the job is rejected
	Return   time.Duration // delay after which the caller should retry, if the job is rejected
}

// Decide returns whether a service with the given load accepts a job.
func Decide(s ServiceLoad, j Job) Verdict {
	wait := s.EstimatedWait(j.Demand)
	if wait == 0 || !s.overloaded() {
		return Verdict{Accepted: true}
	}
	// Those who were rejected earlier return first, and no faster than the servers can take them. Nobody waits for workspaces beyond their shares but
	// they themselves.
	if j.OverShare {
		return Verdict{Reason: OverShare, Return: retryDelay(wait+s.drainTime(s.Returning+s.ReturningOver), j.ID)}
	}
	turn := s.drainTime(s.Returning)
	slack := j.Objective - j.CriticalPath
	if !j.ScheduledRetry {
		slack -= j.Elapsed
	}
	if wait <= slack {
		return Verdict{Accepted: true}
	}
	return Verdict{Reason: NoCapacityInTime, Return: retryDelay(wait-max(slack, 0)+turn, j.ID)}
}

// retryDelay returns the delay after which a caller should retry, given when capacity is expected to be available.
func retryDelay(availableIn time.Duration, id string) time.Duration {
	return min(max(availableIn, minRetryDelay), maxRetryDelay) + Jitter(id, retryJitter)
}

// Jitter returns a delay below limit that depends on the job's id, so that callers who were rejected together don't retry together.
func Jitter(id string, limit time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return time.Duration(h.Sum32()%uint32(limit/time.Millisecond)) * time.Millisecond
}
