package dispatch

import (
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// A call without a response may be carried out seconds later. A server that has restarted under its id then carries it out as if it had been meant for
// the new incarnation: a start begins a run there, and its lease, which was computed for the former clock, extends the leases of all runs.

// maxCallDelay is the longest time after which a server carries out a call that got no response: "seconds later" by the users' pages, 2 to 12 s in their
// list of faults.
const maxCallDelay = 12 * time.Second

// unansweredStart is a start that got no response, and that an incarnation other than the one for which it was meant may still carry out.
type unansweredStart struct {
	task         string
	attempt      int64
	bornMS       int64         // incarnation of the server for which it was meant
	unansweredAt time.Duration // when its timeout was over, which is after its arrival
	stopRetryAt  time.Duration // when a stop may be sent again
	stoppedIn    int64         // incarnation that has confirmed a stop, so that it refuses the start
}

// removedServer is a server that was removed from the core and may come back under its id.
type removedServer struct {
	bornMS            int64
	knownAt           time.Duration
	at                time.Duration
	unansweredAt      time.Duration // like those of server
	formerLeasesEndAt time.Duration
	inLedger          bool // the ledger has a record of it
}

// serverRestarted handles a new incarnation of a server with the same id. Everything that ran on the previous one is lost. A start that got no response
// may yet run on the new one, so its task waits for the confirmation of a stop. An awaited server stays awaited: the restart may have been long ago, and
// a predecessor may have started tasks on the new incarnation since.
func (c *Core) serverRestarted(s *server, bornMS int64) {
	c.reportProblem(s, "server_reborn")
	c.serverCrashed(s)
	awaited := s.awaited()
	c.collectUnanswered(s)
	c.dropBegunRuns(s)
	s.reconciled = !awaited
	if !awaited {
		s.leasesExpireAt = 0
	}
	c.awaitLateCalls(s)
	if s.inLedger && s.formerLeasesEndAt > c.now {
		c.records = append(c.records, c.serverRecord(s)) // a successor may not reach the new incarnation
	}
	s.succeed(bornMS, c.now)
	s.lastEnd, s.storedEnd, s.clockMS, s.recvAt = 0, 0, 0, 0
	s.recorded, s.recording = false, false
	s.consecutiveFailures, s.backoff, s.backoffUntil = 0, 0, 0
	s.restarts++
	for _, r := range s.runs {
		r.stopSent = false
		c.stop(r)
		c.stopGang(r.task)
	}
	c.stopFormerStarts(s)
}

// dropBegunRuns removes the runs of a server that have certainly begun on an incarnation which has ended.
func (c *Core) dropBegunRuns(s *server) {
	for _, r := range s.runs {
		if r.begun {
			c.count("run_lost")
			c.removeRun(r)
		}
	}
}

// collectUnanswered counts the calls of this dispatcher that are underway to a server, and grant leases, among those without an answer. They may have been
// sent seconds after they were decided: directly, after a relay hadn't answered, or by a process that was paused.
func (c *Core) collectUnanswered(s *server) {
	if s.renewalUnderway {
		s.renewalUnderway, s.unansweredAt = false, c.now
	}
	for _, r := range s.runs {
		if !r.answered {
			s.unansweredAt = c.now
		}
	}
}

// RenewalAnswered records that a renewal was answered or not sent, so that it isn't carried out later.
func (c *Core) RenewalAnswered(r Renewal) {
	if s := c.servers[r.Server.ID]; s != nil && r.LeaseUntil > 0 {
		s.renewalUnderway = false
	}
}

// RenewalRepeated records that a renewal of an incarnation of a server was sent again because it got no answer.
func (c *Core) RenewalRepeated(r Renewal) {
	if r.LeaseUntil > 0 {
		c.grantUnanswered(r.Server)
	}
}

// grantUnanswered records that a call which grants a lease to an incarnation of a server got no answer.
func (c *Core) grantUnanswered(asked jobs.Server) {
	if removed, known := c.removedServers[asked.ID]; known {
		removed.unansweredAt = c.now
		c.removedServers[asked.ID] = removed
	}
	s := c.servers[asked.ID]
	if s == nil {
		return
	}
	s.unansweredAt = c.now
	if end := c.now + c.formerLeaseTime(); s.bornMS != asked.BornMS && s.formerLeasesEndAt < end {
		s.formerLeasesEndAt = end
		if s.inLedger {
			c.records = append(c.records, c.serverRecord(s))
		}
	}
}

// awaitLateCalls waits for the leases that the calls for former incarnations of a server may extend: those of this dispatcher that got no answer, and
// those of its predecessors, of whose answers it knows nothing. A call that was answered isn't carried out again.
func (c *Core) awaitLateCalls(s *server) {
	at := s.unansweredAt
	if s.inherited {
		at = max(at, min(c.now, c.params.PredecessorsUntil))
	}
	if at > 0 {
		s.formerLeasesEndAt = max(s.formerLeasesEndAt, at+c.formerLeaseTime())
	}
}

// fencePredecessors records that an incarnation of a server has seen the fencing token of this dispatcher, so that it refuses the late calls of
// predecessors from now on.
func (c *Core) fencePredecessors(s *server) {
	end := min(s.formerLeasesEndAt, c.now+maxElapsed(c.params.MaxLease)+leaseMargin)
	if s.unansweredAt > 0 {
		end = max(end, min(s.formerLeasesEndAt, s.unansweredAt+c.formerLeaseTime()))
	}
	s.formerLeasesEndAt = end
}

// formerLeaseTime is how long a lease that is granted to a server can extend leases of later incarnations.
func (c *Core) formerLeaseTime() time.Duration {
	return maxCallDelay + maxElapsed(c.params.MaxLease) + leaseMargin
}

// leasesEnd returns by when all leases on a server have expired, if no further lease is granted.
func (s *server) leasesEnd() time.Duration { return max(s.leasesExpireAt, s.formerLeasesEndAt) }

// formerLeasesUntilMS returns the Unix time by which all leases from calls for former incarnations of a server have expired, or 0 if they have.
func (c *Core) formerLeasesUntilMS(s *server) int64 {
	if s.formerLeasesEndAt <= c.now {
		return 0
	}
	return c.wallMS + (s.formerLeasesEndAt - c.now).Milliseconds()
}

// restoreFormerLeases takes over what a predecessor has stored about the leases of a server. The stored time isn't used, since the time of day may differ
// between nodes: the calls were sent before the record was stored, and that was before it was read.
func (c *Core) restoreFormerLeases(s *server, stored ledger.Server) {
	if stored.FormerLeasesUntilMS == 0 {
		return
	}
	s.formerLeasesStored = true
	s.formerLeasesEndAt = c.serverSeenAt(s.info.ID) + c.formerLeaseTime()
}

// serverSeenAt returns when the record of a server was read that the ledger had when this dispatcher began.
func (c *Core) serverSeenAt(id string) time.Duration {
	if at, known := c.params.ServerSeenAt[id]; known {
		return at
	}
	return c.now
}

// forgetRemoved forgets the servers that were removed long ago.
func (c *Core) forgetRemoved() {
	for id, removed := range c.removedServers {
		if c.now-removed.at <= c.formerLeaseTime() {
			continue
		}
		delete(c.removedServers, id)
		delete(c.unansweredStarts, id)
		if removed.inLedger {
			c.records = append(c.records, ledger.ServerRemovedRecord(id))
		}
	}
}

// restoreRemoved takes over what a predecessor has stored about a server that it had removed.
func (c *Core) restoreRemoved(id string, stored ledger.Server) {
	seen := c.serverSeenAt(id)
	c.removedServers[id] = removedServer{bornMS: stored.BornMS, knownAt: seen, at: seen, formerLeasesEndAt: seen + c.formerLeaseTime(), inLedger: true}
}

// rememberRemoved remembers a server that is removed, and reports whether successors have to know of it: calls may extend the leases of its next incarnation.
func (c *Core) rememberRemoved(s *server) bool {
	c.collectUnanswered(s)
	c.awaitLateCalls(s)
	stored := s.formerLeasesEndAt > c.now
	c.removedServers[s.info.ID] = removedServer{s.bornMS, s.knownAt, c.now, s.unansweredAt, s.formerLeasesEndAt, stored}
	return stored
}

// awaitFormerLeases waits for the leases of a server that was removed and comes back as another incarnation, as after a restart.
func (c *Core) awaitFormerLeases(s *server) {
	if removed, known := c.removedServers[s.info.ID]; known {
		s.unansweredAt, s.inLedger = removed.unansweredAt, removed.inLedger
		if removed.bornMS != s.bornMS {
			s.formerLeasesEndAt = removed.formerLeasesEndAt
			c.awaitLateCalls(s)
		} else {
			s.knownAt = removed.knownAt
		}
	}
	delete(c.removedServers, s.info.ID)
}

// addUnansweredStart records a start that got no response.
func (c *Core) addUnansweredStart(server jobs.Server, task string, attempt int64) {
	c.unansweredStarts[server.ID] = append(c.currentUnansweredStarts(server.ID), &unansweredStart{task: task, attempt: attempt, bornMS: server.BornMS, unansweredAt: c.now})
}

// currentUnansweredStarts returns the starts without a response that a server may still carry out.
func (c *Core) currentUnansweredStarts(server string) []*unansweredStart {
	return slices.DeleteFunc(c.unansweredStarts[server], func(u *unansweredStart) bool { return c.now-u.unansweredAt > maxCallDelay })
}

// stopFormerStarts orders the stop of all starts for former incarnations of a server, so that the present one doesn't carry them out. The runs that it has
// are stopped by themselves.
func (c *Core) stopFormerStarts(s *server) {
	if len(c.unansweredStarts[s.info.ID]) == 0 {
		return
	}
	current := c.currentUnansweredStarts(s.info.ID)
	c.unansweredStarts[s.info.ID] = current
	for _, u := range current {
		if u.bornMS == s.bornMS || u.stoppedIn == s.bornMS || c.now < u.stopRetryAt || c.findRun(s.info.ID, u.task, u.attempt) != nil {
			continue
		}
		u.stopRetryAt = c.now + stopRetryInterval
		c.count("former_start_stopped")
		c.orders = append(c.orders, Order{Server: s.target(), Stop: &StopOrder{u.task, u.attempt}})
	}
}

// formerStartStopped records that an incarnation of a server has confirmed a stop.
func (c *Core) formerStartStopped(server jobs.Server, task string, attempt int64) {
	for _, u := range c.unansweredStarts[server.ID] {
		if u.task == task && u.attempt == attempt {
			u.stoppedIn = server.BornMS
		}
	}
}
