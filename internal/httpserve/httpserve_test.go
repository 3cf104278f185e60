package httpserve

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a graceful shutdown that is reported as a failure or leaves the listener open.
func TestServeStopsWhenItsContextEnds(t *testing.T) {
	handler := http.NotFoundHandler()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, listener, handler, time.Second) }()
	response, err := http.Get("http://" + listener.Addr().String() + "/v1/status")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	cancel()
	require.NoError(t, <-ended)
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err)
}
