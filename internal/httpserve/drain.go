package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"example.org/comfreyrouter/internal/ingress"
)

// drainInterval is the interval at which the connections of a stopping server are looked at.
const drainInterval = 10 * time.Millisecond

// drainer stops a server without cutting off a request that has been read. http.Server.Shutdown closes a connection that counts as idle although the bytes
// of a request have just been read from it; a drainer only makes the read of an idle connection fail, which does nothing if bytes have arrived before.
type drainer struct {
	mu       sync.Mutex
	draining bool
	conns    map[*conn]bool
}

// conn is a connection of a drainer.
type conn struct {
	net.Conn
	guarded     *ingress.Conn // the same connection
	mu          sync.Mutex
	idle        bool // it has served a request and no bytes of the next one have been read
	interrupted bool // its read was made to fail
}

// Read reads, and undoes an interruption that came too late.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = false
		if c.interrupted {
			c.interrupted = false
			_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
		}
	}
	return n, err
}

// interrupt ends the connection if it is idle.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.interrupted {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
}

// listener wraps the connections that it accepts.
type listener struct{ *ingress.Listener }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.AcceptGuarded()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, guarded: c}, nil
}

// track follows the states of the connections.
func (d *drainer) track(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	tracked := c.(*conn)
	tracked.guarded.State(state)
	switch state {
	case http.StateNew:
		d.conns[tracked] = true
	case http.StateIdle:
		tracked.mu.Lock()
		tracked.idle = true
		tracked.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, tracked)
	case http.StateActive:
	}
}

// handler closes the connections of requests that are answered while the server stops.
func (d *drainer) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (d *drainer) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

// drain waits until all connections have ended, or ctx has.
func (d *drainer) drain(ctx context.Context) {
	for d.interruptIdle() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(drainInterval):
		}
	}
}

// interruptIdle interrupts the idle connections and returns the number of all.
func (d *drainer) interruptIdle() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	for c := range d.conns {
		c.interrupt()
	}
	return len(d.conns)
}
