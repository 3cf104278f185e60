package netrpc

import (
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/internal/testenv"
)

func TestMain(m *testing.M) { testenv.Main(m) }

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Echo is a service that returns its argument.
type Echo struct{}

// Call returns its argument.
func (Echo) Call(n int, reply *int) error {
	*reply = n
	return nil
}

// newEchoClient returns a client of a server with the given flush interval on both sides, and the number of writes of the client.
func newEchoClient(t *testing.T, interval time.Duration) (*rpc.Client, *atomic.Int64) {
	t.Helper()
	handler := rpc.NewServer()
	require.NoError(t, handler.Register(Echo{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Serve(t.Context(), l, handler, Bounds{MaxRequestBytes: 1 << 20, MaxConnections: 4, FlushInterval: interval}, zerolog.Nop())
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	writes := &atomic.Int64{}
	client := rpc.NewClientWithCodec(NewClientCodec(countingConn{conn, writes}, time.Second, interval))
	t.Cleanup(func() {
		assert.NoError(t, client.Close())
		<-done
	})
	return client, writes
}

// TestMessagesOfABusyConnectionAreSentTogether guards against a dispatcher that spends most of its processor time on a system call for each message.
func TestMessagesOfABusyConnectionAreSentTogether(t *testing.T) {
	const calls = 500
	client, writes := newEchoClient(t, 20*time.Millisecond)
	began := time.Now()
	pending := make(chan *rpc.Call, calls)
	for i := range calls {
		client.Go("Echo.Call", i, new(int), pending)
	}
	for range calls {
		call := <-pending
		require.NoError(t, call.Error)
		assert.Equal(t, call.Args, *call.Reply.(*int))
	}
	byTime := int64(time.Since(began)/(20*time.Millisecond)) + 2
	bySize := int64(calls * 64 / 4096) // the buffer holds 4 KiB, and a request takes fewer than 64 bytes
	assert.LessOrEqual(t, writes.Load(), byTime+bySize)
}

// TestIdleConnectionSendsAtOnce guards against a delay of messages that have no others to be sent with.
func TestIdleConnectionSendsAtOnce(t *testing.T) {
	client, writes := newEchoClient(t, time.Hour)
	var reply int
	require.NoError(t, client.Call("Echo.Call", 7, &reply), "an answer that waited would take an hour")
	assert.Equal(t, 7, reply)
	assert.Equal(t, int64(1), writes.Load())
}
