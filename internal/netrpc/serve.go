package netrpc

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
)

// acceptRetryDelay is the delay after a failed accept, for example when the process has no file descriptors left.
const acceptRetryDelay = 50 * time.Millisecond

// Bounds limit the requests and connections of a server.
type Bounds struct {
	MaxRequestBytes int64 // size of one request
	MaxConnections  int   // open at the same time
	// FlushInterval is the minimum time between two writes to a connection. Answers that follow each other within it are sent together.
	FlushInterval time.Duration
}

// Serve serves the methods of a handler on a listener until ctx ends. Then it closes all connections and waits for the calls in progress.
func Serve(ctx context.Context, l net.Listener, handler *rpc.Server, b Bounds, log zerolog.Logger) {
	open := connections{limit: b.MaxConnections, conns: map[net.Conn]bool{}}
	var serving sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // an error means that the listener is already closed
	defer stop()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			open.close()
			serving.Wait()
			return
		case err != nil:
			events.Log(log, events.DependencyLost, "connections of other nodes", err)
			waitAcceptRetry(ctx)
		case !open.add(conn):
			_ = conn.Close()
		default:
			serving.Go(func() {
				handler.ServeCodec(NewServerCodec(conn, b))
				open.remove(conn)
			})
		}
	}
}

func waitAcceptRetry(ctx context.Context) {
	select {
	case <-time.After(acceptRetryDelay):
	case <-ctx.Done():
	}
}

// connections tracks the open connections of a server.
type connections struct {
	limit int

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// add adds a connection and reports whether it may be served.
func (c *connections) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.conns) >= c.limit {
		return false
	}
	c.conns[conn] = true
	return true
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// Recovered converts a panic in a call into the call's error, since net/rpc would let it crash the process. It must be deferred.
func Recovered(log zerolog.Logger, method string, err *error) {
	if r := recover(); r != nil {
		LogPanic(log, method, r)
		*err = errkind.New(errkind.Internal, "%s failed", method)
	}
}

// LogPanic logs a value returned by recover, with the stack trace.
func LogPanic(log zerolog.Logger, name string, recovered any) {
	events.Log(log, events.CallPanicked, name, fmt.Sprint(recovered), string(debug.Stack()))
}
