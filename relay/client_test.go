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

// fakeServers is a ServerClient that counts its calls.
type fakeServers struct {
	mu     sync.Mutex
	starts int
	renews int
	result jobs.StartResult
	start  func() // called by Start if it is set
}

func (s *fakeServers) Start(context.Context, jobs.Server, jobs.Order) jobs.StartResult {
	s.mu.Lock()
	s.starts++
	start, result := s.start, s.result
	s.mu.Unlock()
	if start != nil {
		start()
	}
	return result
}

func (s *fakeServers) Stop(context.Context, jobs.Server, string, int64, int64) bool { return true }

func (s *fakeServers) Pace(context.Context, jobs.Server, string, int64, int64, int) bool { return true }

func (s *fakeServers) Renew(context.Context, jobs.Server, platform.Renewal) (jobs.Report, platform.RenewalResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renews++
	return jobs.Report{ClockMS: 7, Ended: []jobs.End{{Number: 1, How: jobs.EndDone}}}, platform.Renewed
}

func (s *fakeServers) count() (starts, renews int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts, s.renews
}

var (
	server = jobs.Server{ID: "i-1", Address: "127.0.0.1:1", DataCentre: "dc0"}
	order  = jobs.Order{Task: jobs.TaskID{Job: "a"}, Attempt: 1, Fence: 3}
)

// serve runs a relay and returns its address and a function that stops it.
func serve(t *testing.T, servers ServerClient) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, listener, servers, nil, zerolog.Nop()) }()
	stop := sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// newTestClient returns a client with one relay, and the fake that it uses for direct calls.
func newTestClient(t *testing.T, address string) (*Client, *fakeServers) {
	t.Helper()
	direct := &fakeServers{}
	client := NewClient(direct, zerolog.Nop())
	client.SetMembers([]Member{{Name: "node", Address: address, DataCentre: "dc0", Cores: 1}})
	t.Cleanup(client.Close)
	return client, direct
}

// TestOrdersGoThroughTheRelay guards against answers that differ from those that the server gave.
func TestOrdersGoThroughTheRelay(t *testing.T) {
	remote := &fakeServers{result: jobs.StartNoCapacity}
	address, _ := serve(t, remote)
	client, direct := newTestClient(t, address)
	assert.Equal(t, jobs.StartNoCapacity, client.Start(t.Context(), server, order))
	assert.True(t, client.Stop(t.Context(), server, "a.0.0.0", 1, 3))
	assert.True(t, client.Pace(t.Context(), server, "a.0.0.0", 1, 3, 50))
	report, result := client.Renew(t.Context(), server, platform.Renewal{Fence: 3})
	assert.Equal(t, platform.Renewed, result)
	assert.Equal(t, jobs.Report{ClockMS: 7, Ended: []jobs.End{{Number: 1, How: jobs.EndDone}}}, report)
	starts, renews := direct.count()
	assert.Zero(t, starts+renews)
	client.SetMembers(nil)
	client.Start(t.Context(), server, order)
	starts, _ = direct.count()
	assert.Equal(t, 1, starts, "without relays the client calls the servers directly")
}

// TestStoppedRelayIsBypassed guards against servers that look silent, or tasks that don't start, because the node that relayed their orders
// has stopped.
func TestStoppedRelayIsBypassed(t *testing.T) {
	remote := &fakeServers{}
	address, stop := serve(t, remote)
	client, direct := newTestClient(t, address)
	_, result := client.Renew(t.Context(), server, platform.Renewal{})
	require.Equal(t, platform.Renewed, result)
	stop()
	_, result = client.Renew(t.Context(), server, platform.Renewal{})
	assert.Equal(t, platform.Renewed, result)
	assert.Equal(t, jobs.Started, client.Start(t.Context(), server, order))
	starts, renews := direct.count()
	assert.Equal(t, 1, starts)
	assert.Equal(t, 1, renews)
}

// TestFrozenRelayDoesNotSilenceItsServers guards against leases that expire, and work that is abandoned, because a relay is suspended: it accepts
// connections but doesn't answer.
func TestFrozenRelayDoesNotSilenceItsServers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // nothing accepts connections
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, listener.Close()) })
	client, direct := newTestClient(t, listener.Addr().String())
	begin := time.Now()
	_, result := client.Renew(t.Context(), server, platform.Renewal{Wait: 2 * time.Second})
	assert.Equal(t, platform.Renewed, result)
	assert.Less(t, time.Since(begin), 2*time.Second, "the failed ping ends the wait, not the renewal's own timeout")
	_, renews := direct.count()
	assert.Equal(t, 1, renews)
}

// TestStartWithoutAnAnswerIsNotRepeated guards against a task that runs twice: the relay may have started it before it went silent.
func TestStartWithoutAnAnswerIsNotRepeated(t *testing.T) {
	block := make(chan struct{})
	remote := &fakeServers{start: func() { <-block }}
	address, _ := serve(t, remote)
	client, direct := newTestClient(t, address)
	assert.Equal(t, jobs.StartUnknown, client.Start(t.Context(), server, order))
	close(block)
	starts, _ := direct.count()
	assert.Zero(t, starts)
}

// TestRelayRefusesAnOutdatedDispatcher guards against a replaced dispatcher whose orders continue to reach servers: once a server has refused its
// fencing token, the relay forwards no more of its orders.
func TestRelayRefusesAnOutdatedDispatcher(t *testing.T) {
	remote := &fakeServers{result: jobs.StartFenced}
	address, _ := serve(t, remote)
	client, direct := newTestClient(t, address)
	for range 3 {
		assert.Equal(t, jobs.StartFenced, client.Start(t.Context(), server, order))
	}
	_, result := client.Renew(t.Context(), server, platform.Renewal{Fence: order.Fence})
	assert.Equal(t, platform.RenewalFenced, result)
	starts, renews := remote.count()
	assert.Equal(t, 1, starts)
	assert.Zero(t, renews)
	newer := order
	newer.Fence++
	client.Start(t.Context(), server, newer)
	starts, _ = remote.count()
	assert.Equal(t, 2, starts)
	starts, _ = direct.count()
	assert.Zero(t, starts)
}

// TestPanicEndsOnlyItsCall guards against a relay whose process ends because of one call that panics or one malformed message.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	remote := &fakeServers{start: func() { panic("unexpected") }}
	address, _ := serve(t, remote)
	client, _ := newTestClient(t, address)
	assert.Equal(t, jobs.StartUnknown, client.Start(t.Context(), server, order))
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
	_, result := client.Renew(t.Context(), server, platform.Renewal{})
	assert.Equal(t, platform.Renewed, result)
	_, renews := remote.count()
	assert.Equal(t, 1, renews, "through the same relay")
}

// TestRelayWithAnOutdatedViewHandsStartsBack guards against tasks that don't start because their relay is cut off from the store, and against a start that is
// sent although a relay knows that the data centre is evacuated. The relay has to know the server's data centre.
func TestRelayWithAnOutdatedViewHandsStartsBack(t *testing.T) {
	remote := &fakeServers{result: jobs.StartViewOutdated}
	address, _ := serve(t, remote)
	client, direct := newTestClient(t, address)
	assert.Equal(t, jobs.Started, client.Start(t.Context(), server, order))
	starts, _ := direct.count()
	assert.Equal(t, 1, starts)
	remote.mu.Lock()
	remote.result = jobs.StartEvacuated
	remote.mu.Unlock()
	assert.Equal(t, jobs.StartEvacuated, client.Start(t.Context(), server, order))
	starts, _ = direct.count()
	assert.Equal(t, 1, starts)
	assert.Equal(t, server.DataCentre, target(server).server().DataCentre)
}
