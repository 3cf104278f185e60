package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/platform"
)

// Client sends the orders of one dispatcher to backend servers: through relays, or directly if no relay for a server works.
type Client struct {
	direct ServerClient
	log    zerolog.Logger

	mu      sync.Mutex
	members []Member
	links   map[string]*Link // by the relay's name
	chosen  map[string]*Link // by server id: to the relay of the server
	closed  bool
}

// NewClient returns a client without relays, which sends all orders through direct.
func NewClient(direct ServerClient, log zerolog.Logger) *Client {
	return &Client{direct: direct, log: log, links: map[string]*Link{}, chosen: map[string]*Link{}}
}

// SetMembers sets the nodes that can act as relays.
func (c *Client) SetMembers(members []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || slices.Equal(members, c.members) {
		return
	}
	c.members = members
	clear(c.chosen)
	addresses := make(map[string]string, len(members))
	for _, m := range members {
		addresses[m.Name] = m.Address
	}
	for name, l := range c.links {
		if addresses[name] != l.address {
			l.Close()
			delete(c.links, name)
		}
	}
}

// Close closes the connections to all relays. Later orders are sent directly.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed, c.members = true, nil
	clear(c.chosen)
	for name, l := range c.links {
		l.Close()
		delete(c.links, name)
	}
}

// link returns the link to the relay of a server, or nil if no relay works.
func (c *Client) link(server jobs.Server) *Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if l := c.chosen[server.ID]; l != nil && l.Usable(now) {
		return l
	}
	m, found := Choose(c.working(now), server.ID, server.DataCentre)
	if !found {
		delete(c.chosen, server.ID)
		return nil
	}
	if c.links[m.Name] == nil {
		c.links[m.Name] = NewLink(m.Name, m.Address, c.log)
	}
	c.chosen[server.ID] = c.links[m.Name]
	return c.links[m.Name]
}

// working returns the members that haven't failed recently. The lock must be held.
func (c *Client) working(now time.Time) []Member {
	var members []Member
	for _, m := range c.members {
		if l := c.links[m.Name]; l == nil || l.Usable(now) {
			members = append(members, m)
		}
	}
	return members
}

// OrderTimeout bounds an order through a relay: the relay's call to the server, and the round trip to the relay.
const OrderTimeout = platform.OrderTimeout + 300*time.Millisecond

// Start starts a task. If the relay doesn't answer, the result is jobs.StartUnknown, since the task may have been started.
func (c *Client) Start(ctx context.Context, server jobs.Server, o jobs.Order) jobs.StartResult {
	l := c.link(server)
	if l == nil {
		return c.direct.Start(ctx, server, o)
	}
	var reply StartReply
	switch l.Call(ctx, serviceName+".Start", StartArgs{target(server), o}, &reply, OrderTimeout) {
	case nil:
		if reply.Result == jobs.StartViewOutdated {
			return c.direct.Start(ctx, server, o) // this node may know which data centres are evacuated
		}
		return reply.Result
	case ErrNotSent:
		return c.direct.Start(ctx, server, o)
	}
	return jobs.StartUnknown
}

// Stop ends a run, and reports whether the server has confirmed it. If the relay fails it calls the server directly, since a stop can be repeated.
func (c *Client) Stop(ctx context.Context, server jobs.Server, task string, attempt, fence int64) bool {
	if l := c.link(server); l != nil {
		var reply RunReply
		if l.Call(ctx, serviceName+".Stop", RunArgs{target(server), task, attempt, fence, 0}, &reply, OrderTimeout) == nil {
			return reply.Confirmed
		}
	}
	return c.direct.Stop(ctx, server, task, attempt, fence)
}

// Pace sets the speed of a run as a percentage of its full speed, and reports whether the server has confirmed it.
func (c *Client) Pace(ctx context.Context, server jobs.Server, task string, attempt, fence int64, percent int) bool {
	if l := c.link(server); l != nil {
		var reply RunReply
		if l.Call(ctx, serviceName+".Pace", RunArgs{target(server), task, attempt, fence, percent}, &reply, OrderTimeout) == nil {
			return reply.Confirmed
		}
	}
	return c.direct.Pace(ctx, server, task, attempt, fence, percent)
}

// Renew extends the leases on a server and returns its report. If the relay fails it calls the server directly and without waiting for the
// end of a run, so that the failure of a relay doesn't make its servers look silent.
func (c *Client) Renew(ctx context.Context, server jobs.Server, r platform.Renewal) (jobs.Report, platform.RenewalResult) {
	if l := c.link(server); l != nil {
		var reply RenewReply
		err := l.Call(ctx, serviceName+".Renew", RenewArgs{target(server), r}, &reply, r.Wait+platform.RenewalTimeout+OrderTimeout)
		if err == nil {
			return reply.Report, reply.Result
		}
		r.Wait = 0
		report, result := c.direct.Renew(ctx, server, r)
		report.Repeated = !errors.Is(err, ErrNotSent)
		return report, result
	}
	return c.direct.Renew(ctx, server, r)
}

func target(s jobs.Server) Target { return Target{s.ID, s.Address, s.DataCentre, s.BornMS} }
