package dispatch

import (
	"cmp"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// maxRequestServers is the maximum number of servers in a ticket request. The objective of a job allows for one request with 30 servers per step.
	maxRequestServers = 30
	// minTicketValidity is the remaining validity that a ticket must have for a start.
	minTicketValidity = 300 * time.Millisecond
	// ticketRetryDelay is the delay before an unanswered request for a step is repeated.
	ticketRetryDelay = 200 * time.Millisecond
)

// ticket permits a step to run on one incarnation of a server.
type ticket struct {
	text   string
	bornMS int64
	until  time.Duration
}

// stepTickets holds the known decisions of the policy on a step. The set of allowed servers doesn't change.
type stepTickets struct {
	granted    map[string]ticket // by server, including tickets that have expired
	denied     map[string]bool
	pending    bool
	retryAfter time.Duration
}

// policyOf returns the policy of a job's queue, or nil.
func (c *Core) policyOf(j *job) *jobs.Policy {
	if r := c.routes[j.sub.Route]; r != nil {
		return r.Policy
	}
	return nil
}

// ticketFor returns the ticket for a step on a server, and whether a start may be sent. A queue without a policy needs no ticket.
func (c *Core) ticketFor(s *step, srv *server) (string, bool) {
	if c.policyOf(s.occurrence.job) == nil {
		return "", true
	}
	t, known := s.tickets.granted[srv.info.ID]
	if !known || t.bornMS != srv.bornMS || c.now > t.until-minTicketValidity {
		return "", false
	}
	return t.text, true
}

// invalidateTicket marks a ticket as expired after a server has rejected it.
func (c *Core) invalidateTicket(s *step, server string) {
	if t, known := s.tickets.granted[server]; known {
		t.until = 0
		s.tickets.granted[server] = t
	}
}

// NextTicketRequest returns the next request to the policy service: for the most urgent step whose waiting tasks don't all fit on servers with a
// ticket. It returns false if there is nothing to request now.
func (c *Core) NextTicketRequest() (jobs.TicketRequest, *jobs.Policy, bool) {
	if !c.policies {
		return jobs.TicketRequest{}, nil, false
	}
	var waiting []candidate
	for _, j := range c.jobs {
		if c.policyOf(j) != nil && !j.cancelled && !j.failed && c.hasStartable(j) {
			waiting = append(waiting, c.candidate(j))
		}
	}
	slices.SortFunc(waiting, compareCandidates)
	for _, w := range waiting {
		for _, o := range w.job.occurrences {
			for _, s := range o.steps {
				if request, ok := c.ticketRequest(s); ok {
					return request, c.policyOf(w.job), true
				}
			}
		}
	}
	return jobs.TicketRequest{}, nil, false
}

// ticketRequest returns the request for a step. It names the servers that may be allowed or whose ticket has expired, those with the most free
// capacity first.
func (c *Core) ticketRequest(s *step) (jobs.TicketRequest, bool) {
	if s.tickets.pending || c.now < s.tickets.retryAfter || s.doneCount == len(s.tasks) || !s.ready() || !slices.ContainsFunc(s.tasks, c.startable) {
		return jobs.TicketRequest{}, false
	}
	service, unplaced := c.serviceOf(s.occurrence.job), s.startableCount(c)
	var servers []*server
	for _, srv := range c.servers {
		free := srv.info.Capacity.Sub(srv.used)
		if srv.info.Service != service || !c.schedulable(srv) || s.tickets.denied[srv.info.ID] || !s.spec.Allocation().Fits(free) ||
			!srv.info.HasLabel(s.spec.Label) || s.remainingPlaces(srv) == 0 {
			continue
		}
		if _, valid := c.ticketFor(s, srv); valid {
			if unplaced -= min(fitCount(s.spec.Allocation(), free), s.remainingPlaces(srv)); unplaced <= 0 {
				return jobs.TicketRequest{}, false
			}
			continue
		}
		servers = append(servers, srv)
	}
	if len(servers) == 0 {
		return jobs.TicketRequest{}, false
	}
	slices.SortFunc(servers, func(a, b *server) int { return c.compareForRequest(s, a, b) })
	request := jobs.TicketRequest{Job: s.occurrence.job.sub.ID, Occurrence: s.occurrence.number, Step: s.index}
	for _, srv := range servers[:min(len(servers), maxRequestServers)] {
		request.Servers = append(request.Servers, srv.info.ID)
	}
	s.tickets.pending = true
	return request, true
}

// compareForRequest puts servers first that are known to be allowed, then those with the most free capacity.
func (c *Core) compareForRequest(s *step, a, b *server) int {
	allowed := func(srv *server) int {
		if _, known := s.tickets.granted[srv.info.ID]; known {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(allowed(a), allowed(b)), cmp.Compare(b.info.Capacity.CPU-b.used.CPU, a.info.Capacity.CPU-a.used.CPU), cmp.Compare(a.info.ID, b.info.ID))
}

func (s *step) startableCount(c *Core) int {
	n := 0
	for _, t := range s.tasks {
		if c.startable(t) {
			n++
		}
	}
	return n
}

// fitCount returns how many tasks of a size fit into free capacity. It is at least one, because the caller has checked that one fits.
func fitCount(size, free jobs.Resources) int {
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

// TicketRequestAnswered handles the answer to a request that was sent at the given time.
func (c *Core) TicketRequestAnswered(request jobs.TicketRequest, sentAt time.Duration, grant jobs.TicketGrant) {
	s := c.findStep(request)
	if s == nil {
		return
	}
	s.tickets.pending = false
	if s.tickets.granted == nil {
		s.tickets.granted, s.tickets.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range request.Servers {
		srv, text := c.servers[id], grant.Tickets[id]
		switch {
		case text == "":
			s.tickets.denied[id] = true
		case srv != nil:
			s.tickets.granted[id] = ticket{text, srv.bornMS, sentAt + grant.Valid}
		}
	}
	c.count("policy_answered")
}

// TicketRequestUnanswered records that a request got no answer. It is repeated after a delay.
func (c *Core) TicketRequestUnanswered(request jobs.TicketRequest) {
	if s := c.findStep(request); s != nil {
		s.tickets.pending, s.tickets.retryAfter = false, c.now+ticketRetryDelay
	}
	c.count("policy_unanswered")
}

func (c *Core) findStep(request jobs.TicketRequest) *step {
	t := c.findTask(jobs.TaskID{Job: request.Job, Occurrence: request.Occurrence, Step: request.Step}.String())
	if t == nil {
		return nil
	}
	return t.step
}
