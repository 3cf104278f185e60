package dispatch

import (
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

func (c *Core) newServer(info jobs.Server) *server {
	s := &server{info: info, runs: map[string]*run{}, bornMS: info.BornMS, idleSince: c.now, fillPace: fillPaceFirst}
	c.servers[info.ID] = s
	return s
}

// ServerListed takes an entry of the platform's list.
func (c *Core) ServerListed(info jobs.Server) {
	s := c.servers[info.ID]
	if s == nil {
		s = c.newServer(info)
	}
	if info.BornMS > s.bornMS && s.bornMS > 0 {
		c.reborn(s, info.BornMS)
	}
	s.bornMS = max(s.bornMS, info.BornMS)
	s.info, s.listed = info, true
	c.endFormerLives(s)
}

// endFormerLives notes that a machine with a new server has ended all that ran on its former one.
func (c *Core) endFormerLives(s *server) {
	if s.info.Machine == "" {
		return
	}
	for _, o := range c.servers {
		if o != s && o.info.Machine == s.info.Machine && o.bornMS < s.bornMS && !o.gone {
			c.note(o, "machine_has_new_server")
			c.serverGone(o)
		}
	}
}

// ServerListComplete notes that all entries of the platform's list of servers were taken.
func (c *Core) ServerListComplete() { c.listRead = true }

// UpdateMachines takes the whole list of machines. A server of a former dispatcher that doesn't answer and isn't listed has ended if its machine
// has left the fleet, has another server, or is moving or in upkeep, which ends everything on it. A server that is cut off keeps its machine.
func (c *Core) UpdateMachines(machines []jobs.Machine) {
	if !c.listRead || len(machines) == 0 {
		return
	}
	byID := make(map[string]jobs.Machine, len(machines))
	for _, m := range machines {
		byID[m.ID] = m
	}
	for _, s := range c.servers {
		if s.listed || s.info.Machine == "" || s.recvAt > 0 && !s.silent {
			continue
		}
		m, there := byID[s.info.Machine]
		if !there || m.Server != "" && m.Server != s.info.ID || m.Phase == jobs.MachineInUpkeep || m.Phase == jobs.MachineMoving {
			c.note(s, "machine_left")
			c.serverGone(s)
		}
	}
}

// ServerUnlisted notes that the platform's list no longer has a server. What runs there goes on as long as it answers.
func (c *Core) ServerUnlisted(id string) {
	if s := c.servers[id]; s != nil {
		s.listed = false
	}
}

// reborn notes that a server has started anew under its id: everything before is lost.
func (c *Core) reborn(s *server, bornMS int64) {
	c.note(s, "server_reborn")
	c.loseRuns(s)
	s.bornMS, s.seen, s.taken, s.clockMS, s.recvAt = bornMS, 0, 0, 0, 0
	s.lapsesAt, s.fails = 0, 0
}

// serverGone notes that the life of a server has ended.
func (c *Core) serverGone(s *server) {
	s.gone, s.listed = true, false
	c.loseRuns(s)
	c.forget(s)
}

// forget drops a server on which nothing can run.
func (c *Core) forget(s *server) {
	delete(c.servers, s.info.ID)
	if s.recorded || s.recording {
		c.records = append(c.records, ledger.ServerRemovedRecord(s.info.ID))
	}
}

// loseRuns ends all runs of a server, which can't run any more.
func (c *Core) loseRuns(s *server) {
	for _, r := range s.runs {
		c.count("run_lost")
		c.release(r)
	}
	s.swept = true
}

// Servers returns the ids of all servers that have to be asked for reports.
func (c *Core) Servers() []string {
	ids := make([]string, 0, len(c.servers))
	for id := range c.servers {
		ids = append(ids, id)
	}
	return ids
}

// Renewal is what to tell a server with the next renewal.
type Renewal struct {
	Server     jobs.Server
	LeaseUntil int64 // on the server's clock, in milliseconds; 0 if its clock isn't known yet
	AckCursor  int64
	Busy       bool // something runs there
	WarmingUp  bool // a long-running task there is not at work yet, and others may have to wait until it is
}

// NextRenewal returns what to tell a server, or false if it is no longer asked.
func (c *Core) NextRenewal(id string) (Renewal, bool) {
	s := c.servers[id]
	if s == nil {
		return Renewal{}, false
	}
	r := Renewal{Server: s.info, AckCursor: s.taken, Busy: len(s.runs) > 0 || !s.swept}
	for _, run := range s.runs {
		r.WarmingUp = r.WarmingUp || run.task.step.spec.LongRunning && run.percent < atWork && run.state == runActive
	}
	// A renewal without an answer may have arrived. While a server doesn't answer its lease isn't extended, so that it lapses some time.
	if s.recvAt > 0 && !s.silent {
		r.LeaseUntil = c.lease(s)
	}
	return r, true
}

// lease returns the end of a lease given now, on the server's clock, and notes when it will have lapsed for certain.
func (c *Core) lease(s *server) int64 {
	until := s.clockMS + (c.now - s.recvAt).Milliseconds() + c.params.Lease.Milliseconds()
	left := time.Duration(until-s.clockMS) * time.Millisecond
	s.lapsesAt = max(s.lapsesAt, s.recvAt+scaled(left)+leaseSlack)
	return until
}

// stallSlack is by how much later than its bound a renewal may be seen to have no answer. If it is later, this process has been paused or is
// overloaded, and the answer may have come meanwhile.
const stallSlack = 300 * time.Millisecond

// RenewalUnanswered notes that a renewal that was sent at a time got no answer within a bound. Runs are given up only after a look that was sent when their
// leases had lapsed: before, the server may have been asked at a moment at which this process, or the way there, was slow.
func (c *Core) RenewalUnanswered(id string, sent, within time.Duration) {
	s := c.servers[id]
	if s == nil {
		return
	}
	s.silent = true
	if c.now-sent > within+stallSlack {
		c.count("renewal_seen_late")
		return
	}
	if sent >= s.lapsesAt {
		c.expire(id)
	}
}

// ServerReplaced notes that another life answers at a server's address.
func (c *Core) ServerReplaced(id string) {
	if s := c.servers[id]; s != nil {
		c.note(s, "server_gone")
		c.serverGone(s)
	}
}

// expire ends the runs of a server whose leases have lapsed, and forgets the server if the platform has too.
func (c *Core) expire(id string) {
	s := c.servers[id]
	if s == nil || c.now < s.lapsesAt || !c.alone {
		return
	}
	if c.now < s.recvAt+answerAge {
		return
	}
	if !s.swept || len(s.runs) > 0 {
		c.note(s, "server_lapsed")
		c.loseRuns(s)
	}
	if !s.listed {
		c.forget(s)
	}
}

// ReportReceived takes a server's answer to a renewal that was sent at sent.
func (c *Core) ReportReceived(id string, sent time.Duration, r jobs.Report) {
	s := c.servers[id]
	if s == nil {
		return
	}
	if r.BornMS != 0 && s.bornMS != 0 && r.BornMS != s.bornMS {
		if r.BornMS < s.bornMS {
			return
		}
		c.reborn(s, r.BornMS)
	}
	if r.BornMS != 0 {
		s.bornMS = r.BornMS
	}
	s.clockMS, s.sentAt, s.recvAt, s.silent = r.ClockMS, sent, c.now, false
	for _, e := range r.Ended {
		if e.Number > s.seen {
			s.seen = e.Number
			c.runEnded(s, e)
		}
	}
	listed := make(map[string]bool, len(r.Active))
	for _, a := range r.Active {
		listed[a.Task] = true
		c.runListed(s, a, sent)
	}
	c.dropUnlisted(s, listed, sent)
	s.swept = true
	c.controlPace(s)
}

// dropUnlisted ends runs that a server should list and doesn't.
func (c *Core) dropUnlisted(s *server, listed map[string]bool, sent time.Duration) {
	for key, r := range s.runs {
		if listed[key] {
			continue
		}
		switch {
		case r.state == runActive && r.confirmed > 0 && r.confirmed < sent,
			r.stopDone && r.confirmed < sent:
			c.note(s, "run_unlisted")
			c.release(r)
		case r.state == runUnknown, r.state == runStopping && !r.stopDone:
			c.stop(r) // it must not run later
		}
	}
}

// usable reports whether a server may be given new work.
func (c *Core) usable(s *server) bool {
	return s.listed && s.info.Ready && s.recorded && s.swept && !s.gone && !s.cordoned && !s.released && s.recvAt > 0 &&
		c.now-s.recvAt < answerAge && c.now >= s.heldUntil && !s.silent && !c.owesAnswer(s)
}

// owesAnswer reports whether a start on a server has waited for its answer for long, as on a server that has just gone.
func (c *Core) owesAnswer(s *server) bool {
	for _, r := range s.runs {
		if r.state == runStarting && c.now-r.sentAt > slowAnswer {
			return true
		}
	}
	return false
}

// blocked reports whether tasks of a service that a former dispatcher may have started have to wait, because they may run on a server that
// hasn't answered this dispatcher.
func (c *Core) blocked(service string) bool {
	for _, s := range c.servers {
		if s.recorded && !s.swept && s.info.Service == service {
			return true
		}
	}
	return false
}
