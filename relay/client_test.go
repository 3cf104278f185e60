package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/platform"
)

// carrier is a ServerClient that counts its calls.
type carrier struct {
	mu     sync.Mutex
	starts int
	renews int
	result jobs.StartResult
	start  func() // called in a start
}

func (c *carrier) Start(context.Context, jobs.Server, jobs.Order) jobs.StartResult {
	c.mu.Lock()
	c.starts++
	start, result := c.start, c.result
	c.mu.Unlock()
	if start != nil {
		start()
	}
	return result
}

func (c *carrier) Stop(context.Context, jobs.Server, string, int64, int64) bool { return true }

func (c *carrier) Pace(context.Context, jobs.Server, string, int64, int64, int) bool { return true }

func (c *carrier) Renew(context.Context, jobs.Server, platform.Renewal) (jobs.Report, platform.RenewalResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renews++
	return jobs.Report{ClockMS: 7, Ended: []jobs.End{{Number: 1, How: jobs.EndDone}}}, platform.Renewed
}

func (c *carrier) count() (starts, renews int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts, c.renews
}

var (
	server = jobs.Server{ID: "i-1", Address: "127.0.0.1:1", DataCentre: "dc0"}
	order  = jobs.Order{Task: jobs.TaskID{Job: "a"}, Attempt: 1, Fence: 3}
)

// serve runs a relay and returns its address and a function that ends it.
func serve(t *testing.T, c ServerClient) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, listener, c, nil, zerolog.Nop()) }()
	stop := sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// fleet returns a fleet with one relay, and the carrier that it uses itself.
func fleet(t *testing.T, address string) (*Client, *carrier) {
	t.Helper()
	own := &carrier{}
	f := NewClient(own, zerolog.Nop())
	f.SetMembers([]Member{{Name: "node", Address: address, DataCentre: "dc0", Cores: 1}})
	t.Cleanup(f.Close)
	return f, own
}

// TestOrdersGoThroughTheRelay guards against orders whose answers don't come back as the server gave them.
func TestOrdersGoThroughTheRelay(t *testing.T) {
	there := &carrier{result: jobs.StartNoCapacity}
	address, _ := serve(t, there)
	f, own := fleet(t, address)
	assert.Equal(t, jobs.StartNoCapacity, f.Start(t.Context(), server, order))
	assert.True(t, f.Stop(t.Context(), server, "a.0.0.0", 1, 3))
	assert.True(t, f.Pace(t.Context(), server, "a.0.0.0", 1, 3, 50))
	report, result := f.Renew(t.Context(), server, platform.Renewal{Fence: 3})
	assert.Equal(t, platform.Renewed, result)
	assert.Equal(t, jobs.Report{ClockMS: 7, Ended: []jobs.End{{Number: 1, How: jobs.EndDone}}}, report)
	starts, renews := own.count()
	assert.Zero(t, starts+renews)
	f.SetMembers(nil)
	f.Start(t.Context(), server, order)
	starts, _ = own.count()
	assert.Equal(t, 1, starts, "without relays it carries its orders itself")
}

// TestARelayThatIsGoneCostsNothing guards against servers that look silent, or tasks that don't start, because the node that carried their
// orders has gone.
func TestARelayThatIsGoneCostsNothing(t *testing.T) {
	there := &carrier{}
	address, stop := serve(t, there)
	f, own := fleet(t, address)
	_, result := f.Renew(t.Context(), server, platform.Renewal{})
	require.Equal(t, platform.Renewed, result)
	stop()
	_, result = f.Renew(t.Context(), server, platform.Renewal{})
	assert.Equal(t, platform.Renewed, result)
	assert.Equal(t, jobs.Started, f.Start(t.Context(), server, order))
	starts, renews := own.count()
	assert.Equal(t, 1, starts)
	assert.Equal(t, 1, renews)
}

// TestAFrozenRelayDoesNotSilenceItsServers guards against leases that lapse, and work that is given up, because a relay is suspended: it takes
// connections and doesn't answer.
func TestAFrozenRelayDoesNotSilenceItsServers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, listener.Close()) })
	f, own := fleet(t, listener.Addr().String())
	begin := time.Now()
	_, result := f.Renew(t.Context(), server, platform.Renewal{Wait: 2 * time.Second})
	assert.Equal(t, platform.Renewed, result)
	assert.Less(t, time.Since(begin), 2*time.Second, "the look at the relay ends the wait, not the renewal's own time")
	_, renews := own.count()
	assert.Equal(t, 1, renews)
}

// TestAStartWithoutAnAnswerIsNotRepeated guards against a task that runs twice: the relay may have started it before it went silent.
func TestAStartWithoutAnAnswerIsNotRepeated(t *testing.T) {
	block := make(chan struct{})
	there := &carrier{start: func() { <-block }}
	address, _ := serve(t, there)
	f, own := fleet(t, address)
	assert.Equal(t, jobs.StartUnknown, f.Start(t.Context(), server, order))
	close(block)
	starts, _ := own.count()
	assert.Zero(t, starts)
}

// TestAnOutdatedDispatcherIsRefusedByTheRelay guards against a deposed dispatcher whose orders go on to reach servers: once one of them has
// refused its token, the relay sends nothing more of it.
func TestAnOutdatedDispatcherIsRefusedByTheRelay(t *testing.T) {
	there := &carrier{result: jobs.StartFenced}
	address, _ := serve(t, there)
	f, own := fleet(t, address)
	for range 3 {
		assert.Equal(t, jobs.StartFenced, f.Start(t.Context(), server, order))
	}
	_, result := f.Renew(t.Context(), server, platform.Renewal{Fence: order.Fence})
	assert.Equal(t, platform.RenewalFenced, result)
	starts, renews := there.count()
	assert.Equal(t, 1, starts)
	assert.Zero(t, renews)
	newer := order
	newer.Fence++
	f.Start(t.Context(), server, newer)
	starts, _ = there.count()
	assert.Equal(t, 2, starts)
	starts, _ = own.count()
	assert.Zero(t, starts)
}

// TestAnUnexpectedErrorEndsOnlyItsCall guards against a relay whose process ends with one bad call or one malformed message.
func TestAnUnexpectedErrorEndsOnlyItsCall(t *testing.T) {
	there := &carrier{start: func() { panic("unexpected") }}
	address, _ := serve(t, there)
	f, _ := fleet(t, address)
	assert.Equal(t, jobs.StartUnknown, f.Start(t.Context(), server, order))
	for _, garbage := range []string{"GET / HTTP/1.1\r\n\r\n", "\xf8\x7f\xff\xff\xff\xff\xff\xff\xff", "\x00\x00\x00\x00", string(make([]byte, 4096))} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = conn.Write([]byte(garbage))
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		_, err = io.Copy(io.Discard, conn)
		_ = err // the relay may reset the connection
		require.NoError(t, conn.Close())
	}
	_, result := f.Renew(t.Context(), server, platform.Renewal{})
	assert.Equal(t, platform.Renewed, result)
	_, renews := there.count()
	assert.Equal(t, 1, renews, "by the same relay")
}
