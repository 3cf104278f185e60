package dispatch

import (
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

func (c *Core) newServer(info jobs.Server) *server {
	s := &server{info: info, runs: map[string]*run{}, bornMS: info.BornMS, knownAt: c.now, idleSince: c.now, fillerPace: initialFillerPace, token: c.token}
	c.servers[info.ID] = s
	c.addToMachine(s)
	c.recallRemoved(s)
	return s
}

// incarnation identifies an incarnation of a server among those that this dispatcher has seen.
type incarnation struct {
	server   *server
	restarts int
}

func (s *server) incarnation() incarnation { return incarnation{s, s.restarts} }

// isCurrent reports whether an incarnation has neither ended nor restarted, as far as this dispatcher knows.
func (c *Core) isCurrent(i incarnation) bool {
	return c.servers[i.server.info.ID] == i.server && i.server.restarts == i.restarts
}

// target returns the server with its present incarnation, for calls. Its entry in the server list may describe a former one.
func (s *server) target() jobs.Server {
	t := s.info
	t.BornMS = s.bornMS
	return t
}

// described reports whether the last entry of a server describes its present incarnation. Its reports may name a later one than the server list.
func (s *server) described() bool { return s.info.BornMS == 0 || s.info.BornMS == s.bornMS }

// maxFormer bounds server.former. Outdated entries stay listed for three heartbeat intervals, a few seconds in which a server restarts a few times at most.
const maxFormer = 16

// namesSuccessor reports whether an entry or a report that names an incarnation shows by itself that the server has restarted. It may be outdated, and the
// server's time of day may have gone back, so an earlier start shows nothing, nor does that of an incarnation that is known to have ended.
func (s *server) namesSuccessor(bornMS int64) bool {
	return bornMS > s.bornMS && !slices.Contains(s.former, bornMS)
}

// succeed makes an incarnation the present one.
func (s *server) succeed(bornMS int64, now time.Duration) {
	s.former = append(slices.DeleteFunc(s.former, func(f int64) bool { return f == bornMS }), s.bornMS)
	if n := len(s.former); n > maxFormer {
		s.former = slices.Delete(s.former, 0, n-maxFormer)
	}
	s.bornMS, s.knownAt = bornMS, now
}

// addToMachine and removeFromMachine keep the index of servers by machine.
func (c *Core) addToMachine(s *server) {
	if m := s.info.Machine; m != "" {
		c.byMachine[m] = append(c.byMachine[m], s)
	}
}

func (c *Core) removeFromMachine(s *server) {
	m := s.info.Machine
	c.byMachine[m] = slices.DeleteFunc(c.byMachine[m], func(o *server) bool { return o == s })
	if len(c.byMachine[m]) == 0 {
		delete(c.byMachine, m)
	}
}

// ServerListed handles an entry of the platform's server list.
func (c *Core) ServerListed(info jobs.Server) {
	s := c.servers[info.ID]
	if s == nil {
		s = c.newServer(info)
	}
	switch {
	case s.bornMS == 0:
		s.bornMS = info.BornMS
	case s.namesSuccessor(info.BornMS):
		c.serverRestarted(s, info.BornMS)
	}
	if s.info.Machine != info.Machine {
		c.removeFromMachine(s)
		s.info.Machine = info.Machine
		c.addToMachine(s)
	}
	s.info, s.listed = info, true
	s.draining = !info.Ready
	c.removePreviousServers(s)
	c.resolveSilence(s)
}

// removePreviousServers removes the servers that ran on the machine of s before s, because everything on them has ended. One that has answered a call which
// was sent after s had become known is later, though the machine's time of day may have gone back and it states an earlier start.
func (c *Core) removePreviousServers(s *server) {
	for _, o := range slices.Clone(c.byMachine[s.info.Machine]) {
		if o != s && o.bornMS < s.bornMS && o.sentAt < s.knownAt && !o.terminated {
			c.reportProblem(o, "machine_has_new_server")
			c.serverCrashed(o)
			c.serverTerminated(o)
		}
	}
}

// ServerListComplete records that all entries of the platform's server list have been handled.
func (c *Core) ServerListComplete() { c.serverListComplete = true }

// UpdateMachines takes the complete list of machines. An unlisted and unresponsive server has ended if its machine has left the fleet, has another
// server, or is moving or in upkeep, which ends everything on it. A server that is only cut off keeps its machine.
func (c *Core) UpdateMachines(machines []jobs.Machine) {
	if !c.serverListComplete || len(machines) == 0 {
		return
	}
	byID := make(map[string]jobs.Machine, len(machines))
	for _, m := range machines {
		byID[m.ID] = m
	}
	c.resolveSilentMachines(byID)
	for _, s := range c.servers {
		if s.listed || s.info.Machine == "" || s.recvAt > 0 && !s.unresponsive {
			continue
		}
		m, found := byID[s.info.Machine]
		if !found || m.Server != "" && m.Server != s.info.ID || m.Phase == jobs.MachineInUpkeep || m.Phase == jobs.MachineMoving {
			c.reportProblem(s, "machine_left")
			if m.Phase != jobs.MachineInUpkeep && m.Phase != jobs.MachineMoving {
				c.serverCrashed(s)
			}
			c.serverTerminated(s)
		}
	}
}

// ServerUnlisted records that a server is no longer in the platform's list. Its runs continue as long as it answers.
func (c *Core) ServerUnlisted(id string) {
	if s := c.servers[id]; s != nil {
		s.listed = false
	}
}

// awaited reports whether a predecessor may have started tasks on a server that hasn't reported to this dispatcher.
func (s *server) awaited() bool { return s.inherited && !s.reconciled }

// serverTerminated records that the incarnation of a server has ended.
func (c *Core) serverTerminated(s *server) {
	s.terminated, s.listed = true, false
	c.dropRuns(s)
	c.removeServer(s)
}

// removeServer removes a server on which nothing can run.
func (c *Core) removeServer(s *server) {
	delete(c.servers, s.info.ID)
	c.removeFromMachine(s)
	stored := c.rememberRemoved(s)
	switch {
	case stored:
		c.records = append(c.records, ledger.ServerRecord(s.info.ID, ledger.Server{
			Service: s.info.Service, Address: s.info.Address, BornMS: s.bornMS, Machine: s.info.Machine, FormerLeasesUntilMS: c.formerLeasesUntilMS(s), Removed: true,
		}))
	case s.inLedger:
		c.records = append(c.records, ledger.ServerRemovedRecord(s.info.ID))
	}
}

// dropRuns removes all runs of a server on which nothing can run any more.
func (c *Core) dropRuns(s *server) {
	for _, r := range s.runs {
		c.count("run_lost")
		c.removeRun(r)
	}
	s.reconciled = true
}

// Servers returns the ids of all servers whose leases have to be renewed.
func (c *Core) Servers() []string {
	ids := make([]string, 0, len(c.servers))
	for id := range c.servers {
		ids = append(ids, id)
	}
	return ids
}

// A renewal waits on the server for the end of a run. One whose answer is lost hides all that ends there until it times out, so the wait is short
// where ends are due: tasks that end by themselves run for about a second, and their jobs have about a second of slack.
const (
	idleWait        = 2 * time.Second
	longRunningWait = time.Second // all runs are of long-running tasks, which end unexpectedly
	// WarmUpWait is the wait on a server with a long-running task that isn't serving yet: the next machine of a wave waits for that task.
	WarmUpWait = 250 * time.Millisecond
	endWait    = 150 * time.Millisecond
)

// Renewal is the content of the next renewal of a server's leases.
type Renewal struct {
	Server     jobs.Server
	Fence      int64
	LeaseUntil int64         // on the server's clock, in milliseconds; 0 if the clock isn't known yet or the server doesn't answer
	AckCursor  int64         // number of the newest end that the server may discard
	Wait       time.Duration // how long the server waits for the end of a run before it answers
	WarmingUp  bool          // a long-running task there isn't serving yet, and others may have to wait for it
}

// NextLook returns a renewal of a server that extends no lease and may be sent beside another one, or false if the server has been removed.
func (c *Core) NextLook(id string) (Renewal, bool) {
	s := c.servers[id]
	if s == nil {
		return Renewal{}, false
	}
	r := Renewal{Server: s.target(), Fence: s.token, AckCursor: s.storedEnd}
	for _, run := range s.runs {
		r.WarmingUp = r.WarmingUp || run.task.step.spec.LongRunning && run.percent < servingPercent && run.state == runActive
	}
	return r, true
}

// NextRenewal returns the next renewal of a server, or false if the server has been removed. One is sent at a time.
func (c *Core) NextRenewal(id string) (Renewal, bool) {
	r, known := c.NextLook(id)
	if !known {
		return r, false
	}
	s := c.servers[id]
	// An unanswered renewal may still have arrived. The lease of an unresponsive server isn't extended, so that it expires eventually.
	switch {
	case s.recvAt == 0 || s.unresponsive:
	case !s.fenced:
		r.Wait = endWait // nothing is given to it before a higher token is claimed
	default:
		r.LeaseUntil, r.Wait = c.grantLease(s), s.renewalWait(r.WarmingUp)
	}
	return r, true
}

// renewalWait returns how long the next renewal of a responsive server waits for the end of a run.
func (s *server) renewalWait(warmingUp bool) time.Duration {
	for _, r := range s.runs {
		if !r.task.step.spec.LongRunning {
			return endWait
		}
	}
	switch {
	case warmingUp:
		return WarmUpWait
	case len(s.runs) > 0:
		return longRunningWait
	}
	return idleWait
}

// grantLease returns the end of a lease that is granted now, on the server's clock, and records when it will certainly have expired.
func (c *Core) grantLease(s *server) int64 {
	until := s.clockMS + (c.now - s.recvAt).Milliseconds() + c.params.Lease.Milliseconds()
	remaining := time.Duration(until-s.clockMS) * time.Millisecond
	s.leasesExpireAt = max(s.leasesExpireAt, s.recvAt+maxElapsed(remaining)+leaseMargin)
	s.openGrants++
	return until
}

// maxDetectionDelay is the greatest delay after its timeout at which a renewal may be found unanswered. After a longer delay, this process was paused
// or overloaded, and the answer may have arrived in the meantime.
const maxDetectionDelay = 300 * time.Millisecond

// RenewalUnanswered records that a renewal sent at the given time got no answer within its timeout. Runs are abandoned only if the renewal was sent
// after their leases had expired: an earlier one may be unanswered merely because this process or the network was slow at that moment.
func (c *Core) RenewalUnanswered(id string, sent, timeout time.Duration) {
	s := c.servers[id]
	if s == nil {
		return
	}
	if s.unresponsive {
		c.serverSilent(s) // a single renewal may be lost
	}
	s.unresponsive = true
	if c.now-sent > timeout+maxDetectionDelay {
		c.count("renewal_seen_late")
		return
	}
	if sent >= s.leasesEnd() {
		c.expireLeases(id)
	}
}

// ServerReplaced records that another server answered at the address to which an order for a server was sent. It says nothing about the server if that
// has restarted since the order was sent, possibly at another address.
func (c *Core) ServerReplaced(asked jobs.Server) {
	s := c.servers[asked.ID]
	if s == nil || s.bornMS != asked.BornMS || s.info.Address != asked.Address {
		return
	}
	if s.hasUnansweredStart() && c.now < s.leasesEnd() {
		c.awaitReturn(s)
		return
	}
	c.reportProblem(s, "server_gone")
	c.serverCrashed(s)
	c.serverTerminated(s)
}

// hasUnansweredStart reports whether a run of a server may not have begun yet, so that the server may carry out its start later.
func (s *server) hasUnansweredStart() bool {
	for _, r := range s.runs {
		if !r.begun && !r.stopConfirmed {
			return true
		}
	}
	return false
}

// awaitReturn gives up the runs that had begun on a server which has ended. The others are kept until their leases have expired: the server may come back
// under its id at another address and carry out their starts before this dispatcher reaches it.
func (c *Core) awaitReturn(s *server) {
	s.unresponsive = true
	if !s.replaced {
		c.reportProblem(s, "server_gone") // each renewal shows it again
	}
	s.replaced = true
	c.serverCrashed(s)
	c.dropBegunRuns(s)
}

// ServerRestarted records that another incarnation of a server has answered, which hasn't got the call that was meant for the one that was asked. That one
// had begun before it was asked, so the other one is later, even if the server's time of day has gone back and it states an earlier start.
func (c *Core) ServerRestarted(asked jobs.Server, bornMS int64) {
	if s := c.servers[asked.ID]; s != nil && s.bornMS == asked.BornMS && bornMS != s.bornMS {
		c.serverRestarted(s, bornMS)
	}
}

// expireLeases removes the runs of a server whose leases have expired, and the server itself if it is unlisted. It does nothing unless this
// dispatcher is known to have been the only one until then: another one may have extended them.
func (c *Core) expireLeases(id string) {
	s := c.servers[id]
	if s == nil || c.now < s.leasesEnd() || c.soleUntil < s.leasesEnd() {
		return
	}
	if c.now < s.recvAt+maxReportAge {
		return
	}
	if !s.reconciled || len(s.runs) > 0 {
		c.reportProblem(s, "server_lapsed")
		c.dropRuns(s)
	}
	if !s.listed {
		c.removeServer(s)
	}
}

// ReportReceived handles a server's answer to a renewal that was sent at the given time.
func (c *Core) ReportReceived(renewal Renewal, sent time.Duration, r jobs.Report) {
	s := c.servers[renewal.Server.ID]
	if s == nil {
		return
	}
	if r.BornMS != 0 && s.bornMS != 0 && r.BornMS != s.bornMS {
		if !s.namesSuccessor(r.BornMS) {
			return
		}
		c.serverRestarted(s, r.BornMS)
	}
	if r.BornMS != 0 {
		s.bornMS = r.BornMS
	}
	previous := s.recvAt
	fenced := renewal.Fence >= s.minToken
	if fenced && !s.fenced {
		c.serverFenced(s)
	}
	s.clockMS, s.sentAt, s.recvAt, s.heardAt, s.unresponsive, s.replaced = r.ClockMS, sent, c.now, c.now, false, false
	c.forgetSilence(s.info.ID) // it was only cut off
	c.count("report")
	if len(r.Ended) > 0 && r.Ended[len(r.Ended)-1].Number <= s.lastEnd {
		c.count("report_repeated") // all of its ends are known, so the server hasn't waited for another one
	}
	for _, e := range r.Ended {
		if e.Number > s.lastEnd {
			s.lastEnd = e.Number
			c.runEnded(s, e)
		}
	}
	listed := make(map[string]bool, len(r.Active))
	for _, a := range r.Active {
		listed[a.Task] = true
		c.runListed(s, a, sent)
	}
	c.dropUnlisted(s, listed, sent, fenced, r.MoreEnds)
	s.reconciled = s.reconciled || !r.MoreEnds
	c.observeInterference(s, previous)
	c.controlPace(s)
}

// dropUnlisted removes confirmed runs that a server doesn't report, and stops those whose start or stop isn't confirmed. If the server is fenced, it begins
// no run that was meant for a former incarnation any more. While it has more ends than it reports, a run may be among these.
func (c *Core) dropUnlisted(s *server, listed map[string]bool, sent time.Duration, fenced, moreEnds bool) {
	for key, r := range s.runs {
		if listed[key] {
			continue
		}
		switch {
		case !moreEnds && r.former && fenced:
			c.count("former_start_refused")
			c.removeRun(r)
		case !moreEnds && r.state == runActive && r.confirmedAt > 0 && r.confirmedAt < sent,
			!moreEnds && r.stopConfirmed && r.confirmedAt < sent:
			c.reportProblem(s, "run_unlisted")
			c.removeRun(r)
		case r.state == runUnknown, r.state == runStopping && !r.stopConfirmed:
			r.uncertain = r.uncertain || r.state == runUnknown
			c.stop(r) // a delayed start must not take effect
		}
	}
}

// schedulable reports whether a server may get new work.
func (c *Core) schedulable(s *server) bool {
	return s.listed && s.info.Ready && s.recorded && s.fenced && s.reconciled && !s.terminated && !s.cordoned && !s.released && s.recvAt > 0 &&
		c.now-s.recvAt < maxReportAge && c.now >= s.backoffUntil && !s.unresponsive && !c.hasOverdueStart(s) && !c.withheld(s)
}

// hasOverdueStart reports whether a start on a server is overdue, as on a server that has just failed.
func (c *Core) hasOverdueStart(s *server) bool {
	for _, r := range s.runs {
		if r.state == runStarting && c.now-r.sentAt > startAnswerTimeout {
			return true
		}
	}
	return false
}
