package fleettest

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// host is one process on the network. A successor of a killed process is another host.
type host struct {
	centre string
	frozen int // number of freezes in force
	dead   bool
}

// network connects hosts. What is sent over a cut, or to or from a frozen host, arrives when that ends.
type network struct {
	mu        sync.Mutex
	changed   chan struct{} // closed at each change of hosts or cuts
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

// await returns true once the way between two hosts is open, and false if done is closed first.
func (n *network) await(a, b *host, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		open := a.frozen <= 0 && b.frozen <= 0 && n.cuts[[2]string{a.centre, b.centre}] <= 0
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

// kill breaks all connections of a host and lets it make no others.
func (n *network) kill(h *host) {
	n.change(func() {
		h.dead = true
		for c := range n.conns {
			if c.from == h || c.to == h {
				c.breakOff()
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
		mine.breakOff()
		theirs.breakOff()
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
	go x.pump()
	go y.pump()
	if a.dead || b.dead {
		x.breakOff()
		y.breakOff()
	}
	return x, y
}

// latency is the time of a packet from one host to another.
const latency = time.Millisecond

// drainTimeout bounds the time in which a closed connection delivers what was written before.
const drainTimeout = time.Minute

// conn is one end of a connection. Writes never block; a goroutine delivers them, since a writer that blocks with a lock held
// would keep the fake clock from moving.
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

func (c *conn) breakOff() {
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

// Close delivers what was written and then closes the connection.
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

func (c *conn) pump() {
	defer func() {
		c.breakOff()
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

// listener accepts the connections to an address of a host.
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
