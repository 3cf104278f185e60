package ingress

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
)

type connKey struct{}

// ConnContext makes the connection known to the handler of its requests. It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// State follows the state of a connection. It is for http.Server.ConnState.
func (c *Conn) State(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.end()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Handler tells the guard of each request when its head and its body are complete. A request that was refused in the meantime doesn't reach next.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.begin(r) {
			maps.Copy(w.Header(), g.options.RefusalHeaders)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		if r.Body != nil && r.Body != http.NoBody {
			// A copy: net/http has to find its own body in its request, or it waits for the rest of an unread one before it answers.
			copied := r.WithContext(r.Context())
			copied.Body = &body{r.Body, c, w}
			r = copied
		}
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request on a guarded connection.
type body struct {
	io.ReadCloser
	conn   *Conn
	writer http.ResponseWriter
}

// Read reads. Its error is ErrRefused from when the request is refused.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.conn.refused() || errors.Is(err, io.EOF) && !b.conn.complete() {
		b.writer.Header().Set("Connection", "close")
		return 0, ErrRefused
	}
	return n, err
}

// ReadBody reads a body of at most limit bytes, and one byte more of a longer one. Its memory grows with what has arrived.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	most := limit + 1
	if r.ContentLength >= 0 {
		most = min(most, r.ContentLength+1) // the byte more shows the end without a larger buffer
	}
	data := make([]byte, 0, min(most, bufferBytes))
	for {
		n, err := r.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF), int64(len(data)) > limit:
			return data, nil
		case err != nil:
			return data, err
		case len(data) == cap(data):
			larger := make([]byte, len(data), min(most, 2*int64(cap(data))))
			copy(larger, data)
			data = larger
		}
	}
}
