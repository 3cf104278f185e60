// Package httpserve serves HTTP with bounds on its clients and a graceful shutdown.
package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"example.org/comfreyrouter/internal/ingress"
)

const (
	// readHeaderTimeout bounds the time in which a caller sends the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes connections without a request. Without it, idle connections would use up a bounded listener forever.
	idleTimeout = 30 * time.Second
)

// Serve is ServeGuarded with the default bounds, which suit a listener that only the operators or the platform call.
func Serve(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration) error {
	return ServeGuarded(ctx, l, h, grace, ingress.NewGuard(ingress.DefaultOptions()))
}

// ServeGuarded serves HTTP on a listener until ctx ends, and then finishes the calls in progress within grace. Connections that
// are still open after grace are closed; most of them never carried a request. The guard bounds what clients can take.
func ServeGuarded(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration, g *ingress.Guard) error {
	d := &drainer{conns: map[*conn]bool{}}
	server := &http.Server{
		Handler: d.handler(g.Handler(h)), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: ingress.MaxHeaderBytes,
		ConnState: d.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return ingress.ConnContext(ctx, c.(*conn).guarded)
		},
	}
	guarding := make(chan struct{})
	defer close(guarding)
	go g.Run(guarding)
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		_ = l.Close() // ends Serve; the connections go on
		d.drain(drainCtx)
		g.Stop()
		err := server.Close()
		if errors.Is(err, net.ErrClosed) {
			err = nil // of the listener
		}
		stopped <- err
	})
	err := server.Serve(listener{g.Listener(l)})
	if stop() {
		return err
	}
	return <-stopped
}
