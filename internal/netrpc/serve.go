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

// acceptPause is the pause after a failed accept, for example when the process has no file descriptors left.
const acceptPause = 50 * time.Millisecond

// Bounds are the bounds of a server.
type Bounds struct {
	MaxRequestBytes int64 // of a request
	MaxConnections  int   // that are open at the same time
}

// Serve serves the methods of a handler on a listener until ctx ends. Then it ends all connections and waits for the calls in progress.
func Serve(ctx context.Context, l net.Listener, handler *rpc.Server, b Bounds, log zerolog.Logger) {
	open := connections{most: b.MaxConnections, conns: map[net.Conn]bool{}}
	var serving sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // a listener that is closed already has nothing to end
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
			pause(ctx)
		case !open.add(conn):
			_ = conn.Close()
		default:
			serving.Go(func() {
				handler.ServeCodec(NewServerCodec(conn, b.MaxRequestBytes))
				open.remove(conn)
			})
		}
	}
}

func pause(ctx context.Context) {
	select {
	case <-time.After(acceptPause):
	case <-ctx.Done():
	}
}

// connections are the open connections of a server.
type connections struct {
	most int

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// add reports whether a connection may be served.
func (c *connections) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.conns) >= c.most {
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

// Recovered turns a panic of a call into its error, since net/rpc would let it end the process. It has to be deferred.
func Recovered(log zerolog.Logger, method string, err *error) {
	if r := recover(); r != nil {
		LogPanic(log, method, r)
		*err = errkind.New(errkind.Internal, "%s failed", method)
	}
}

// LogPanic logs what recover has returned, with the stack.
func LogPanic(log zerolog.Logger, name string, recovered any) {
	events.Log(log, events.CallPanicked, name, fmt.Sprint(recovered), string(debug.Stack()))
}
