package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/platform"
)

// Client carries the orders of one dispatcher: through relays, or by itself to servers for which there is no relay that works.
type Client struct {
	own ServerClient
	log zerolog.Logger

	mu      sync.Mutex
	members []Member
	links   map[string]*Link // by the relay's name
	chosen  map[string]*Link // by server: to the relay that carries its orders
	closed  bool
}

// NewClient returns a fleet without relays.
func NewClient(own ServerClient, log zerolog.Logger) *Client {
	return &Client{own: own, log: log, links: map[string]*Link{}, chosen: map[string]*Link{}}
}

// SetMembers says which nodes may be relays.
func (f *Client) SetMembers(members []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || slices.Equal(members, f.members) {
		return
	}
	f.members = members
	clear(f.chosen)
	keep := make(map[string]string, len(members))
	for _, m := range members {
		keep[m.Name] = m.Address
	}
	for name, l := range f.links {
		if keep[name] != l.address {
			l.Close()
			delete(f.links, name)
		}
	}
}

// Close ends the connections to all relays. Orders that come later are carried directly.
func (f *Client) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed, f.members = true, nil
	clear(f.chosen)
	for name, l := range f.links {
		l.Close()
		delete(f.links, name)
	}
}

// link returns the connection to the relay of a server, or nil if there is none that works.
func (f *Client) link(server jobs.Server) *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if l := f.chosen[server.ID]; l != nil && l.Usable(now) {
		return l
	}
	m, found := Choose(f.working(now), server.ID, server.DataCentre)
	if !found {
		delete(f.chosen, server.ID)
		return nil
	}
	if f.links[m.Name] == nil {
		f.links[m.Name] = NewLink(m.Name, m.Address, f.log)
	}
	f.chosen[server.ID] = f.links[m.Name]
	return f.links[m.Name]
}

// working returns the members that haven't failed a moment ago. The lock must be held.
func (f *Client) working(now time.Time) []Member {
	var members []Member
	for _, m := range f.members {
		if l := f.links[m.Name]; l == nil || l.Usable(now) {
			members = append(members, m)
		}
	}
	return members
}

// OrderTimeout bounds an order through a relay: the call of the relay to the server, and the way there and back.
const OrderTimeout = platform.OrderTimeout + 300*time.Millisecond

// Start starts a task. A relay that doesn't answer may have started it.
func (f *Client) Start(ctx context.Context, server jobs.Server, o jobs.Order) jobs.StartResult {
	l := f.link(server)
	if l == nil {
		return f.own.Start(ctx, server, o)
	}
	var reply StartReply
	switch l.Call(ctx, serviceName+".Start", StartArgs{target(server), o}, &reply, OrderTimeout) {
	case nil:
		return reply.Result
	case ErrNotSent:
		return f.own.Start(ctx, server, o)
	}
	return jobs.StartUnknown
}

// Stop ends a run, and reports whether the server has confirmed. Both ways are tried, since a stop can be repeated.
func (f *Client) Stop(ctx context.Context, server jobs.Server, task string, attempt, fence int64) bool {
	if l := f.link(server); l != nil {
		var reply RunReply
		if l.Call(ctx, serviceName+".Stop", RunArgs{target(server), task, attempt, fence, 0}, &reply, OrderTimeout) == nil {
			return reply.Confirmed
		}
	}
	return f.own.Stop(ctx, server, task, attempt, fence)
}

// Pace sets the share of its speed at which a run works, and reports whether the server has confirmed.
func (f *Client) Pace(ctx context.Context, server jobs.Server, task string, attempt, fence int64, percent int) bool {
	if l := f.link(server); l != nil {
		var reply RunReply
		if l.Call(ctx, serviceName+".Pace", RunArgs{target(server), task, attempt, fence, percent}, &reply, OrderTimeout) == nil {
			return reply.Confirmed
		}
	}
	return f.own.Pace(ctx, server, task, attempt, fence, percent)
}

// Renew extends the leases on a server and returns its report. If the relay fails the server is asked directly and at once, so that a
// relay that has gone doesn't make its servers look silent.
func (f *Client) Renew(ctx context.Context, server jobs.Server, r platform.Renewal) (jobs.Report, platform.RenewalResult) {
	if l := f.link(server); l != nil {
		var reply RenewReply
		if l.Call(ctx, serviceName+".Renew", RenewArgs{target(server), r}, &reply, r.Wait+platform.RenewalTimeout+OrderTimeout) == nil {
			return reply.Report, reply.Result
		}
		r.Wait = 0
	}
	return f.own.Renew(ctx, server, r)
}

func target(s jobs.Server) Target { return Target{s.ID, s.Address} }
