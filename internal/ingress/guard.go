// Package ingress bounds what the clients of an HTTP listener can take of a process: the size of a head, the memory of all unfinished requests together,
// the number of connections, and the time that a stalled client holds one. docs/design/untrusted-clients.md says why it works below net/http.
package ingress

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/comfreyrouter/events"
)

// Reason is why a client was refused.
type Reason int

// The reasons, also the values of a metric's label.
const (
	HeadTooLarge Reason = iota // the head of a request is over the limit
	OutOfMemory                // the unfinished requests hold the budget
	TooManyConns               // the connections are at their limit
	TooSlow                    // a request or the reading of an answer doesn't progress
	reasonCount
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"head_too_large", "out_of_memory", "too_many_connections", "too_slow"}[r]
}

// Event returns the event that reports clients refused for the reason.
func (r Reason) Event() events.Event {
	return [...]events.Event{events.HeadsRefused, events.MemoryRefused, events.ConnectionsRefused, events.SlowRefused}[r]
}

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{HeadTooLarge, OutOfMemory, TooManyConns, TooSlow} }

// ErrRefused is the error of reading the body of a request that is refused. The request must not run, and its answer must say so.
var ErrRefused = errors.New("the client is beyond the limits of its listener")

const (
	// DefaultHeaderBytes is the limit of the head of a request unless a configuration sets another.
	DefaultHeaderBytes = 16 << 10
	// MaxHeaderBytes bounds every configured limit.
	MaxHeaderBytes = 1 << 20
	// shortestLine is the length of the shortest header line, "a:" and its end, in bytes. A head has at most as many lines as of these fit in its limit.
	shortestLine = 4
	// bufferBytes is the size of the buffer with which net/http reads a connection.
	bufferBytes = 4096

	// What an unfinished request holds, in bytes for each byte and each line read: the strings and the map of its headers, and the buffer of its body with
	// the copies that are made while it grows and is decoded.
	costOfHeadByte = 4
	costOfLine     = 200
	costOfBodyByte = 3

	// closingShare is the share of the limit of connections that may be open beside it while others are being closed: one part in so many.
	closingShare = 16
	// smallRequest is what an ordinary request holds at most, in bytes.
	smallRequest = 16 << 10

	// tick is the interval at which connections are looked at. Times of connections are counted in ticks.
	tick = time.Second
	// stalledTicks is after how many ticks without a byte a request is refused before those that progress.
	stalledTicks = 2
	// bodyTicks is after how many ticks a body must come at leastRate, and longest without a byte of it.
	bodyTicks = 10
	// leastRate is the least rate of a body after bodyTicks, in bytes per second.
	leastRate = 8 << 10
	// answerTicks is after how many ticks a client that reads nothing of its answer is disconnected.
	answerTicks = 15
)

// Options are the bounds of a listener. A bound of 0 doesn't apply.
type Options struct {
	MaxConns int   // connections that are open at the same time
	Budget   int64 // bytes that all unfinished requests hold
	// CompleteBodyCost is what a complete body holds, in bytes for each of its bytes; 0 means as much as while it is read.
	CompleteBodyCost int64
	HeaderBytes      int // size of the head of a request; 0 means DefaultHeaderBytes
	// Group names the client of a request, such as by its key. Of the clients that progress, the one that holds most is refused first. Without it or a
	// name, clients are told apart by their addresses.
	Group func(r *http.Request) string
	// RefusalHeaders are added to the answers of requests that are refused before a handler has them.
	RefusalHeaders http.Header
	// OnRefused is called at most once per second and reason with the number of clients refused since the last call.
	OnRefused func(reason Reason, count int)
}

// DefaultOptions returns bounds that suit a listener with few clients: 64 connections, and 16 MB for their unfinished requests.
func DefaultOptions() Options { return Options{MaxConns: 64, Budget: 16 << 20} }

// Guard holds the bounds of one listener, or of several that share them.
type Guard struct {
	options     Options
	headerBytes atomic.Int64
	budget      atomic.Int64
	held        atomic.Int64 // by all connections
	now         atomic.Int64 // ticks
	refusals    [reasonCount]atomic.Int64
	stopping    atomic.Bool // connections are closed at once

	mu    sync.Mutex
	conns map[*Conn]bool
}

// NewGuard returns a guard.
func NewGuard(o Options) *Guard {
	g := &Guard{options: o, conns: map[*Conn]bool{}}
	g.SetHeaderBytes(o.HeaderBytes)
	g.budget.Store(o.Budget)
	return g
}

// SetHeaderBytes changes the limit of the head of a request. 0 means DefaultHeaderBytes.
func (g *Guard) SetHeaderBytes(n int) {
	if n <= 0 {
		n = DefaultHeaderBytes
	}
	g.headerBytes.Store(int64(min(n, MaxHeaderBytes)))
}

// SetBudget changes the bytes that all unfinished requests may hold.
func (g *Guard) SetBudget(bytes int64) { g.budget.Store(bytes) }

// Stop makes connections close without waiting for refused clients to read their answers. It is called before all are closed one after the other.
func (g *Guard) Stop() { g.stopping.Store(true) }

// Held returns the bytes that all unfinished requests hold.
func (g *Guard) Held() int64 { return g.held.Load() }

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Run looks at the connections once per tick until done is closed.
func (g *Guard) Run(done <-chan struct{}) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-done:
			g.report()
			return
		case <-t.C:
			g.advance()
			g.report()
		}
	}
}

// advance refuses requests that are too slow and disconnects clients that don't read.
func (g *Guard) advance() {
	now := g.now.Add(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		switch {
		case c.tooSlow(now):
			c.refuse(TooSlow)
		case c.readsNothing(now):
			g.count(TooSlow)
			_ = c.Conn.Close() // it may be closed
		}
	}
}

func (g *Guard) count(r Reason) { g.refusals[r].Add(1) }

func (g *Guard) report() {
	for _, r := range Reasons() {
		if n := g.refusals[r].Swap(0); n > 0 && g.options.OnRefused != nil {
			g.options.OnRefused(r, int(n))
		}
	}
}

// Listener wraps a listener so that its connections are guarded.
func (g *Guard) Listener(l net.Listener) *Listener { return &Listener{l, g} }

// Listener accepts guarded connections.
type Listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that isn't refused.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptGuarded()
	if err != nil {
		return nil, err // not a nil connection in an interface
	}
	return c, nil
}

// AcceptGuarded is Accept with the type of the connection.
func (l *Listener) AcceptGuarded() (*Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn); c != nil {
			return c, nil
		}
		l.guard.count(TooManyConns)
		_ = conn.Close() // nothing was read from it
	}
}

// admit returns a new connection with a guard, or nil if there is no room for it. It makes room by closing connections without a request or with a stalled
// one.
func (g *Guard) admit(conn net.Conn) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit := g.options.MaxConns; limit > 0 && len(g.conns) >= limit {
		// Connections that are being closed stay open for a moment.
		if len(g.conns) > limit+limit/closingShare || !g.makeRoom(len(g.conns)-limit+1) {
			return nil
		}
	}
	c := &Conn{Conn: conn, guard: g, group: addressOf(conn), progressAt: g.now.Load()}
	g.conns[c] = true
	return c
}

// makeRoom refuses connections until at least n are being closed, and reports whether they are. Those without a request go first, the oldest of them before
// the others, then those that have stalled, and last those that have just been opened. The lock must be held.
func (g *Guard) makeRoom(n int) bool {
	now := g.now.Load()
	var victims []victim
	for c := range g.conns {
		v, closing := c.asVictim(now)
		switch {
		case closing:
			n--
		case v.conn != nil && (v.quiet || v.stalled):
			victims = append(victims, v)
		}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(boolOrder(b.fresh(now), a.fresh(now)), boolOrder(a.quiet, b.quiet), cmp.Compare(a.progressAt, b.progressAt))
	})
	for _, v := range victims {
		if n <= 0 {
			break
		}
		if v.conn.refuse(TooManyConns) {
			n--
		}
	}
	return n <= 0
}

// boolOrder sorts true before false.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// release takes a connection out.
func (g *Guard) release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// fit refuses requests until those that are left hold less than the budget, and reports whether self is left. Requests that have stalled go first, then those
// of the client that holds most.
func (g *Guard) fit(self *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	budget, held, now := g.budget.Load(), g.held.Load(), g.now.Load()
	if held <= budget {
		return true // others have been released in the meantime
	}
	var victims []victim
	groups := map[string]int64{}
	for c := range g.conns {
		v, closing := c.asVictim(now)
		switch {
		case closing:
			held -= v.held
		case v.conn != nil && v.held > 0:
			victims = append(victims, v)
		}
		groups[v.group] += v.held
	}
	// What is refused is released only when its handler has ended. Until then only small requests go on.
	if g.held.Load() > budget+budget/2 && self.held.Load() > smallRequest {
		return !self.refuse(OutOfMemory)
	}
	left := budget - budget/8 // makes room for more than one read, so that the connections are sorted less often
	if held <= left {
		return !self.refused() // what is being closed is enough
	}
	slices.SortFunc(victims, func(a, b victim) int {
		if a.stalled != b.stalled {
			return boolOrder(a.stalled, b.stalled)
		}
		return cmp.Or(cmp.Compare(groups[b.group], groups[a.group]), cmp.Compare(b.held, a.held))
	})
	for _, v := range victims {
		if held <= left {
			break
		}
		if v.conn.refuse(OutOfMemory) {
			held -= v.held
		}
	}
	return !self.refused()
}

// victim is a connection that may be refused.
type victim struct {
	conn       *Conn // nil if it may not be refused
	group      string
	held       int64
	quiet      bool // there is no request on it
	stalled    bool // its request has stalled
	progressAt int64
}

// fresh reports whether a connection without a request was opened or used so recently that a request may be on its way.
func (v victim) fresh(now int64) bool { return v.quiet && now == v.progressAt }

// addressOf returns the address of a client without its port.
func addressOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}
