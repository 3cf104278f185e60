package dispatch

import (
	"cmp"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// askMost is the most servers in one question. The objective of a job counts one question on 30 servers for each step.
	askMost = 30
	// ticketMargin is what must be left of a ticket's validity for a start to carry it.
	ticketMargin = 300 * time.Millisecond
	// askPause is the pause of a step after a question that got no answer.
	askPause = 200 * time.Millisecond
)

// ticket allows a step to run on one life of a server.
type ticket struct {
	text   string
	bornMS int64
	until  time.Duration
}

// tickets is what is known of a step's policy. Which servers it allows doesn't change.
type tickets struct {
	valid    map[string]ticket // by server, also those that are no longer valid
	denied   map[string]bool
	asking   bool
	askAfter time.Duration
}

// policyOf returns the policy of a job's queue, or nil.
func (c *Core) policyOf(j *job) *jobs.Policy {
	if r := c.routes[j.sub.Route]; r != nil {
		return r.Policy
	}
	return nil
}

// ticketFor returns the ticket for a step on a server, and whether a start may be sent: a queue without a policy needs none.
func (c *Core) ticketFor(s *step, srv *server) (string, bool) {
	if c.policyOf(s.occurrence.job) == nil {
		return "", true
	}
	t, known := s.tickets.valid[srv.info.ID]
	if !known || t.bornMS != srv.bornMS || c.now > t.until-ticketMargin {
		return "", false
	}
	return t.text, true
}

// dropTicket forgets a ticket that a server has refused.
func (c *Core) dropTicket(s *step, server string) {
	if t, known := s.tickets.valid[server]; known {
		t.until = 0
		s.tickets.valid[server] = t
	}
}

// NextTicketRequest returns what to ask the service that knows the queues' policies: for the most urgent step that has waiting tasks and no
// server with a ticket and room for all of them. It reports false if there is nothing to ask now.
func (c *Core) NextTicketRequest() (jobs.TicketRequest, *jobs.Policy, bool) {
	if !c.policies {
		return jobs.TicketRequest{}, nil, false
	}
	var waiting []candidate
	for _, j := range c.jobs {
		if c.policyOf(j) != nil && !j.cancelled && !j.failed && c.hasWaiting(j) {
			waiting = append(waiting, c.candidate(j))
		}
	}
	slices.SortFunc(waiting, compareCandidates)
	for _, w := range waiting {
		for _, o := range w.job.occurrences {
			for _, s := range o.steps {
				if q, ok := c.question(s); ok {
					return q, c.policyOf(w.job), true
				}
			}
		}
	}
	return jobs.TicketRequest{}, nil, false
}

// question returns the servers to ask about for a step: those with the most room that may be allowed, or whose ticket has run out.
func (c *Core) question(s *step) (jobs.TicketRequest, bool) {
	if s.tickets.asking || c.now < s.tickets.askAfter || s.doneCount == len(s.tasks) || !s.ready() || !slices.ContainsFunc(s.tasks, c.waits) {
		return jobs.TicketRequest{}, false
	}
	service, missing := c.serviceOf(s.occurrence.job), s.waiting(c)
	var servers []*server
	for _, srv := range c.servers {
		free := srv.info.Capacity.Sub(srv.used)
		if srv.info.Service != service || !c.usable(srv) || s.tickets.denied[srv.info.ID] || !s.spec.Allocation().Fits(free) ||
			!srv.info.HasLabel(s.spec.Label) {
			continue
		}
		if _, valid := c.ticketFor(s, srv); valid {
			if missing -= fits(s.spec.Allocation(), free); missing <= 0 {
				return jobs.TicketRequest{}, false
			}
			continue
		}
		servers = append(servers, srv)
	}
	if len(servers) == 0 {
		return jobs.TicketRequest{}, false
	}
	slices.SortFunc(servers, func(a, b *server) int { return c.compareAsked(s, a, b) })
	q := jobs.TicketRequest{Job: s.occurrence.job.sub.ID, Occurrence: s.occurrence.number, Step: s.index}
	for _, srv := range servers[:min(len(servers), askMost)] {
		q.Servers = append(q.Servers, srv.info.ID)
	}
	s.tickets.asking = true
	return q, true
}

// compareAsked puts servers first that are known to be allowed, then those with the most room.
func (c *Core) compareAsked(s *step, a, b *server) int {
	allowed := func(srv *server) int {
		if _, known := s.tickets.valid[srv.info.ID]; known {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(allowed(a), allowed(b)), cmp.Compare(b.info.Capacity.CPU-b.used.CPU, a.info.Capacity.CPU-a.used.CPU), cmp.Compare(a.info.ID, b.info.ID))
}

func (s *step) waiting(c *Core) int {
	n := 0
	for _, t := range s.tasks {
		if c.waits(t) {
			n++
		}
	}
	return n
}

// fits returns how many tasks of a size fit into free room; at least one, since one was found to fit.
func fits(size, free jobs.Resources) int {
	n := int64(1 << 30)
	if size.CPU > 0 {
		n = min(n, free.CPU/size.CPU)
	}
	if size.MemoryMB > 0 {
		n = min(n, free.MemoryMB/size.MemoryMB)
	}
	if size.GPU > 0 {
		n = min(n, free.GPU/size.GPU)
	}
	return int(max(n, 1))
}

// TicketRequestAnswered takes the verdict on a question that was asked at a time.
func (c *Core) TicketRequestAnswered(q jobs.TicketRequest, asked time.Duration, v jobs.TicketGrant) {
	s := c.step(q)
	if s == nil {
		return
	}
	s.tickets.asking = false
	if s.tickets.valid == nil {
		s.tickets.valid, s.tickets.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range q.Servers {
		srv, text := c.servers[id], v.Tickets[id]
		switch {
		case text == "":
			s.tickets.denied[id] = true
		case srv != nil:
			s.tickets.valid[id] = ticket{text, srv.bornMS, asked + v.Valid}
		}
	}
	c.count("policy_answered")
}

// TicketRequestUnanswered notes that a question got no answer. It is asked again after a pause.
func (c *Core) TicketRequestUnanswered(q jobs.TicketRequest) {
	if s := c.step(q); s != nil {
		s.tickets.asking, s.tickets.askAfter = false, c.now+askPause
	}
	c.count("policy_unanswered")
}

func (c *Core) step(q jobs.TicketRequest) *step {
	t := c.task(jobs.TaskID{Job: q.Job, Occurrence: q.Occurrence, Step: q.Step}.String())
	if t == nil {
		return nil
	}
	return t.step
}
