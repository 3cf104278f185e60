package jobnode

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestMadeUpKeysNameNoClient guards against a client that sends another key on each connection and so counts as many clients that hold little.
func TestMadeUpKeysNameNoClient(t *testing.T) {
	o := newOperatorFollower(nil, Bounds{RevokeWithin: time.Second}, zerolog.Nop())
	call := func(key string) *http.Request {
		return &http.Request{Header: http.Header{"Authorization": {"Bearer " + key}}}
	}
	require.Empty(t, o.workspaceOf(call("key-1")), "no configuration is known")
	o.keys = map[string]string{"key-1": "w", "key-2": "w"}
	require.Equal(t, "w", o.workspaceOf(call("key-1")))
	require.Equal(t, "w", o.workspaceOf(call("key-2")))
	require.Empty(t, o.workspaceOf(call("made-up")))
	require.Empty(t, o.workspaceOf(&http.Request{Header: http.Header{}}))
}
