package fleettest

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// host is one process on the simulated network. The successor of a killed process is another host.
type host struct {
	dataCentre string
	frozen     int // number of freezes in force
	dead       bool
}

// network simulates the network between hosts. Data sent across a partition, or to or from a frozen host, arrives when that ends.
type network struct {
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change of hosts or partitions
	cuts      map[[2]string]int
	listeners map[string]*listener
	conns     map[*conn]bool
}

func newNetwork() *network {
	return &network{
		changed: make(chan struct{}), cuts: map[[2]string]int{}, listeners: map[string]*listener{}, conns: map[*conn]bool{},
	}
}

func (n *network) change(fn func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) cut(a, b string, by int) {
	n.change(func() {
		n.cuts[[2]string{a, b}] += by
		n.cuts[[2]string{b, a}] += by
	})
}

func (n *network) freeze(h *host, by int) { n.change(func() { h.frozen += by }) }

// await returns true once data can pass between two hosts, and false if done is closed first.
func (n *network) await(a, b *host, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		open := a.frozen <= 0 && b.frozen <= 0 && n.cuts[[2]string{a.dataCentre, b.dataCentre}] <= 0
		changed := n.changed
		n.mu.Unlock()
		if open {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// kill breaks all connections of a host, closes its listeners and prevents new connections.
func (n *network) kill(h *host) {
	n.change(func() {
		h.dead = true
		for c := range n.conns {
			if c.from == h || c.to == h {
				c.abort()
				delete(n.conns, c)
			}
		}
		for address, l := range n.listeners {
			if l.host == h {
				delete(n.listeners, address)
				l.once.Do(func() { close(l.closed) })
			}
		}
	})
}

// dialer returns the dial function of a host.
func (n *network) dialer(from *host) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		dead := from.dead
		n.mu.Unlock()
		if dead || l == nil {
			return nil, net.ErrClosed
		}
		if !n.await(from, l.host, ctx.Done()) {
			return nil, ctx.Err()
		}
		mine, theirs := n.connect(from, l.host)
		select {
		case l.accepted <- theirs:
			return mine, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		mine.abort()
		theirs.abort()
		return nil, net.ErrClosed
	}
}

func (n *network) connect(a, b *host) (x, y *conn) {
	p, q := net.Pipe()
	x = &conn{Conn: p, net: n, from: a, to: b, wake: make(chan struct{}, 1), broken: make(chan struct{})}
	y = &conn{Conn: q, net: n, from: b, to: a, wake: make(chan struct{}, 1), broken: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[x], n.conns[y] = true, true
	go x.deliver()
	go y.deliver()
	if a.dead || b.dead {
		x.abort()
		y.abort()
	}
	return x, y
}

// latency is the delay of each write from one host to another.
const latency = time.Millisecond

// drainTimeout limits how long the delivery of one write may wait for its reader, also after the connection was closed.
const drainTimeout = time.Minute

// conn is one end of a connection. Writes never block; a goroutine delivers them, because a writer that blocks while it holds a lock
// would stop the bubble's fake clock.
type conn struct {
	net.Conn
	net      *network
	from, to *host
	wake     chan struct{}
	broken   chan struct{}
	once     sync.Once

	mu     sync.Mutex
	queue  [][]byte
	closed bool
}

func (c *conn) abort() {
	c.once.Do(func() {
		close(c.broken)
		_ = c.Conn.Close()
	})
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, slices.Clone(p))
	c.signal()
	return len(p), nil
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close lets the connection deliver what was written before and then close; it doesn't wait.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.signal()
	return c.Conn.SetReadDeadline(time.Now())
}

func (c *conn) SetDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

func (c *conn) SetWriteDeadline(time.Time) error { return nil }

func (c *conn) take() (chunks [][]byte, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chunks, c.queue = c.queue, nil
	return chunks, c.closed
}

func (c *conn) deliver() {
	defer func() {
		c.abort()
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		delete(c.net.conns, c)
	}()
	for {
		chunks, closed := c.take()
		for _, chunk := range chunks {
			time.Sleep(latency)
			if !c.net.await(c.from, c.to, c.broken) {
				return
			}
			_ = c.Conn.SetWriteDeadline(time.Now().Add(drainTimeout))
			if _, err := c.Conn.Write(chunk); err != nil {
				return
			}
		}
		switch {
		case len(chunks) > 0:
		case closed:
			return
		default:
			select {
			case <-c.wake:
			case <-c.broken:
				return
			}
		}
	}
}

// listener accepts the connections to one address of a host.
type listener struct {
	host     *host
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (n *network) listen(h *host, address string) *listener {
	l := &listener{host: h, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.change(func() { n.listeners[address] = l })
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
