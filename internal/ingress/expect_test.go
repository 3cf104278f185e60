package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnreadBodiesDoNotHoldBackAnswers guards against a handler around others that hides the body of a request from net/http, which then waits for a body that
// the client doesn't send: one that awaits "100 Continue", or one that is larger than net/http discards.
func TestUnreadBodiesDoNotHoldBackAnswers(t *testing.T) {
	g := NewGuard(Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		ConnState:         func(c net.Conn, s http.ConnState) { c.(*Conn).State(s) },
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return ConnContext(ctx, c.(*Conn)) },
		Handler:           g.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })),
	}
	go func() { _ = server.Serve(g.Listener(l)) }() // ends with Close
	defer func() { require.NoError(t, server.Close()) }()
	for _, head := range []string{"Content-Length: 1000\r\nExpect: 100-continue\r\n", "Content-Length: 10000000\r\n"} {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		// Without a limit, the answer would come only once the client sends the body.
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+head+"\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, head)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
		require.True(t, resp.Close)
		require.NoError(t, conn.Close())
	}
}
