package dispatch

import (
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// A call without a response may be carried out seconds later. A server that has restarted under its id carries it out as if it had been meant for the new
// incarnation: a start begins a run there, its lease, which was computed for the former clock, extends the leases of all runs, and an acknowledgement makes
// it forget ends that nobody has read. Servers refuse every token below the highest one that they have seen. The calls to a new incarnation therefore carry
// a higher token than those to former ones, and it gets no work and no acknowledgement before it has seen that token.

// maxCallDelay is the longest time after which a server carries out a call that got no response: "seconds later" by the users' pages, 2 to 12 s in their
// list of faults.
const maxCallDelay = 12 * time.Second

// removedServer is a server that was removed from the core and may come back under its id.
type removedServer struct {
	bornMS            int64
	knownAt           time.Duration
	at                time.Duration
	token, minToken   int64 // like those of server
	formerLeasesEndAt time.Duration
	inLedger          bool // the ledger has a record of it
}

// serverRestarted handles a new incarnation of a server with the same id. Everything that ran on the previous one is lost. A start that got no response
// may yet run on the new one, so its task waits until that has seen a higher token. An awaited server stays awaited: the restart may have been long ago, and
// a predecessor may have started tasks on the new incarnation since.
func (c *Core) serverRestarted(s *server, bornMS int64) {
	c.reportProblem(s, "server_reborn")
	c.serverCrashed(s)
	awaited := s.awaited()
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
	s.lastEnd, s.storedEnd, s.clockMS, s.recvAt, s.openGrants = 0, 0, 0, 0, 0
	s.recorded, s.recording = false, false
	s.consecutiveFailures, s.backoff, s.backoffUntil = 0, 0, 0
	s.restarts++
	c.requireToken(s, s.token+1)
	for _, r := range s.runs {
		r.former, r.stopSent, r.stopConfirmed = true, false, false
		if r.state != runStopping {
			r.state = runUnknown
		}
		c.stopGang(r.task)
	}
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

// requireToken makes the calls to the present incarnation of a server carry at least the given token.
func (c *Core) requireToken(s *server, token int64) {
	s.minToken, s.fenced = max(s.minToken, token), false
	c.raiseToken(s)
}

// raiseToken makes the calls to a server carry the newest token, if they need a higher one than theirs and the newest one suffices.
func (c *Core) raiseToken(s *server) {
	if s.token < s.minToken && s.minToken <= c.token {
		s.token = c.token
	}
}

// Epoch returns the newest epoch that this dispatcher has claimed.
func (c *Core) Epoch() int64 { return c.token }

// epochToClaim returns the epoch that this dispatcher has to claim because calls to a server need a higher token, or 0.
func (c *Core) epochToClaim() int64 {
	for _, s := range c.servers {
		if s.minToken > c.token {
			return c.token + 1
		}
	}
	return 0
}

// epochClaimed records that this dispatcher has claimed a higher epoch.
func (c *Core) epochClaimed(epoch int64) {
	c.token = max(c.token, epoch)
	for _, s := range c.servers {
		c.raiseToken(s)
	}
}

// TokenRefused handles the refusal of a call because its server, or another one that the same relay calls, has seen a higher token. It reports whether that
// may be a newer token of this dispatcher; the next calls to the server carry that one.
func (c *Core) TokenRefused(server string, token int64) bool {
	if token >= c.token {
		return false
	}
	if s := c.servers[server]; s != nil {
		s.token = c.token
	}
	return true
}

// serverFenced records that the present incarnation of a server refuses the late calls of predecessors and those for former incarnations from now on. The
// leases that such calls have extended before last.
func (c *Core) serverFenced(s *server) {
	s.fenced = true
	s.formerLeasesEndAt = min(s.formerLeasesEndAt, c.now+maxElapsed(c.params.MaxLease)+leaseMargin)
}

// RenewalAnswered records that a renewal was answered or not sent, so that it isn't carried out later.
func (c *Core) RenewalAnswered(r Renewal) {
	if r.LeaseUntil > 0 {
		c.grantAnswered(r.Server)
	}
}

// grantAnswered records that a call which grants a lease to an incarnation of a server was answered or not sent.
func (c *Core) grantAnswered(asked jobs.Server) {
	if s := c.servers[asked.ID]; s != nil && s.bornMS == asked.BornMS && s.openGrants > 0 {
		s.openGrants--
	}
}

// awaitLateCalls waits for the leases that calls for former incarnations of a server may extend: those of this dispatcher without an answer, which have
// reached the server by now if they ever do, and those of its predecessors, of whose answers it knows nothing.
func (c *Core) awaitLateCalls(s *server) {
	var at time.Duration
	if s.openGrants > 0 {
		at = c.now
	}
	if s.inherited {
		at = max(at, min(c.now, c.params.PredecessorsUntil))
	}
	if at > 0 {
		s.formerLeasesEndAt = max(s.formerLeasesEndAt, at+c.formerLeaseTime())
	}
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
	c.awaitLateCalls(s)
	stored := s.formerLeasesEndAt > c.now
	c.removedServers[s.info.ID] = removedServer{s.bornMS, s.knownAt, c.now, s.token, s.minToken, s.formerLeasesEndAt, stored}
	return stored
}

// recallRemoved takes over what is known of a server that was removed and comes back. If it comes back as another incarnation, it has restarted.
func (c *Core) recallRemoved(s *server) {
	removed, known := c.removedServers[s.info.ID]
	if !known {
		return
	}
	delete(c.removedServers, s.info.ID)
	s.inLedger = removed.inLedger
	if removed.bornMS == s.bornMS {
		s.knownAt, s.token, s.minToken = removed.knownAt, removed.token, removed.minToken
		return
	}
	s.formerLeasesEndAt = removed.formerLeasesEndAt
	c.requireToken(s, removed.token+1)
}
