// Package httpserve serves HTTP with a graceful shutdown.
package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// readHeaderTimeout bounds the time in which a caller sends the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes connections without a request. Without it, idle connections would use up a bounded listener forever.
	idleTimeout = 30 * time.Second
)

// Serve serves HTTP on a listener until ctx ends, and then finishes the calls in progress within grace. Connections that
// are still open after grace are closed; most of them never carried a request.
func Serve(ctx context.Context, l net.Listener, h http.Handler, grace time.Duration) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		err := server.Shutdown(shutdownCtx)
		if errors.Is(err, context.DeadlineExceeded) {
			err = server.Close()
		}
		stopped <- err
	})
	err := server.Serve(l)
	if stop() {
		return err
	}
	return <-stopped
}
