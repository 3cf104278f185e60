package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/netrpc"
	"example.org/comfreyrouter/internal/standin/platform"
	"example.org/comfreyrouter/logclient"
)

// network connects by net.Pipe, so that it works in a synctest bubble. Connections to an address without a listener are refused; a
// silent address accepts connections and never answers.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	silent    map[string]bool
	dials     map[string]int
}

func newNetwork() *network {
	return &network{listeners: map[string]*pipeListener{}, silent: map[string]bool{}, dials: map[string]int{}}
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *network) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// alias gives a listener a second address.
func (n *network) alias(second, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[second] = n.listeners[address]
}

func (n *network) setSilent(address string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = silent
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, silent := n.listeners[address], n.silent[address]
	n.dials[address]++
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	clientEnd, serverEnd := net.Pipe()
	if silent {
		return clientEnd, nil
	}
	select {
	case l.conns <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	return nil, errors.New("connection refused")
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testVM is an entry VM made of the components of this package and logclient.
type testVM struct {
	LogSource
	name     string
	exchange *Exchange
	server   *Server
	forward  func(ctx context.Context) (ResultReply, error)
}

func (v *testVM) status() Status {
	return Status{Incarnation: v.name, Offset: v.Store.Offset(), LogReadable: v.Follower.Readable()}
}

func (v *testVM) Heartbeat(context.Context, Status) (Status, error) { return v.status(), nil }

func (v *testVM) Forward(ctx context.Context, _ ForwardArgs) (ResultReply, error) {
	return v.forward(ctx)
}

func (v *testVM) Result(context.Context, ResultArgs) (ResultReply, error) {
	return ResultReply{}, errkind.New(errkind.RequestUnknown, "no such id")
}

func startVM(ctx context.Context, n *network, core *platform.Core, name string, recentBytes int, seeds ...string) *testVM {
	v := &testVM{name: name}
	v.Store = fleet.NewStore()
	v.exchange = NewExchange(ExchangeOptions{Store: v.Store, Address: name, Seeds: seeds, Status: v.status, Dial: n.dial})
	v.Follower = logclient.NewFollower(logclient.FollowerOptions{
		Log: core.Client(platform.Caller{Name: name}), Store: v.Store, Fallback: v.exchange, RecentBytes: recentBytes,
	})
	v.server = Serve(n.listen(name), v, zerolog.Nop())
	go v.exchange.Run(ctx)
	go v.Follower.Run(ctx)
	return v
}

// runWithPlatform calls test in a synctest bubble with a network and a platform.
func runWithPlatform(t *testing.T, test func(ctx context.Context, t *testing.T, n *network, core *platform.Core)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		core := platform.NewCore(platform.Options{})
		test(ctx, t, newNetwork(), core)
		cancel()
		core.Close()
	})
}

func appendEmptyBatches(ctx context.Context, t *testing.T, core *platform.Core, count int) {
	for range count {
		_, err := core.Append(ctx, platform.Caller{}, []byte(`{"writer":"w","seq":1,"commands":[]}`))
		require.NoError(t, err)
	}
}

// TestFollowThroughPeers guards against a VM that cannot reach the platform and doesn't follow the log through its peers, by records or,
// when they are no longer kept, by a snapshot; and against a status whose age is counted from its receipt.
func TestFollowThroughPeers(t *testing.T) {
	for _, recentBytes := range []int{1 << 20, 1} {
		runWithPlatform(t, func(ctx context.Context, t *testing.T, n *network, core *platform.Core) {
			appendEmptyBatches(ctx, t, core, 5)
			a := startVM(ctx, n, core, "a", recentBytes)
			defer a.server.Close()
			core.SetFaults(platform.Faults{Cut: []string{"b"}})
			b := startVM(ctx, n, core, "b", recentBytes, "a", "b2")
			defer b.server.Close()
			n.alias("b2", "b")
			time.Sleep(14 * time.Second)
			require.Equal(t, uint64(5), b.Store.Offset())
			appendEmptyBatches(ctx, t, core, 5)
			time.Sleep(14 * time.Second)
			require.Equal(t, uint64(10), b.Store.Offset())
			require.False(t, b.Follower.Readable())
			statuses := b.exchange.Statuses()
			require.Len(t, statuses, 1, "a VM is no peer of its own")
			require.True(t, statuses[0].LogReadable)
			require.LessOrEqual(t, time.Since(statuses[0].AskedAt), DefaultHeartbeatInterval)
			n.setSilent("a", true)
			require.NoError(t, a.server.Close())
			time.Sleep(time.Minute)
			require.Greater(t, time.Since(b.exchange.Statuses()[0].AskedAt), 50*time.Second, "an old status keeps its age")
		})
	}
}

// TestSilentPeer guards against a call that blocks on a silent peer, a peer that is dialled repeatedly without a pause, and a client that
// never reconnects.
func TestSilentPeer(t *testing.T) {
	runWithPlatform(t, func(ctx context.Context, t *testing.T, n *network, core *platform.Core) {
		a := startVM(ctx, n, core, "a", 0)
		n.setSilent("a", true)
		client := NewClient("a", n.dial, 0)
		defer client.Close()
		for range 100 {
			began := time.Now()
			_, err := client.Heartbeat(ctx, Status{})
			require.Equal(t, errkind.IssuerUnreachable, errkind.Of(err))
			require.LessOrEqual(t, time.Since(began), DefaultTimeout)
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, n.dials["a"], 15, "in 10 s of pauses and a second for each attempt")
		n.setSilent("a", false)
		time.Sleep(maxRedialPause)
		_, err := client.Heartbeat(ctx, Status{})
		require.NoError(t, err)
		require.NoError(t, a.server.Close())
	})
}

// TestForward guards against a forwarded request that runs beyond its deadline, a slow request that closes the connection for other
// calls, and errors that lose their kind.
func TestForward(t *testing.T) {
	runWithPlatform(t, func(ctx context.Context, t *testing.T, n *network, core *platform.Core) {
		a := startVM(ctx, n, core, "a", 0)
		defer a.server.Close()
		client := NewClient("a", n.dial, 0)
		defer client.Close()
		a.forward = func(ctx context.Context) (ResultReply, error) {
			<-ctx.Done()
			return ResultReply{}, errkind.New(errkind.RequestTimeout, "too late")
		}
		began := time.Now()
		_, err := client.Forward(ctx, ForwardArgs{TimeLeft: time.Minute})
		require.Equal(t, errkind.RequestTimeout, errkind.Of(err))
		require.Equal(t, time.Minute, time.Since(began))
		release := make(chan struct{})
		a.forward = func(context.Context) (ResultReply, error) {
			<-release
			return ResultReply{}, errors.New("plain")
		}
		_, err = client.Forward(ctx, ForwardArgs{TimeLeft: time.Second})
		require.Equal(t, errkind.IssuerUnreachable, errkind.Of(err))
		_, err = client.Result(ctx, ResultArgs{})
		require.Equal(t, errkind.RequestUnknown, errkind.Of(err))
		require.Equal(t, 1, n.dials["a"])
		close(release)
		_, err = client.Forward(ctx, ForwardArgs{TimeLeft: time.Second})
		require.Equal(t, errkind.Internal, errkind.Of(err))
	})
}

// TestOversizedMessageIsRefused guards against a message so large that it exhausts the memory of the VM that reads it.
func TestOversizedMessageIsRefused(t *testing.T) {
	runWithPlatform(t, func(ctx context.Context, t *testing.T, n *network, core *platform.Core) {
		a := startVM(ctx, n, core, "a", 0)
		require.NoError(t, a.server.Close())
		a.server = serve(n.listen("a"), a, zerolog.Nop(), netrpc.Bounds{MaxRequestBytes: 10_000, MaxConnections: maxConnections})
		defer a.server.Close()
		client := NewClient("a", n.dial, 0)
		defer client.Close()
		_, err := client.Forward(ctx, ForwardArgs{TimeLeft: time.Second, Body: make([]byte, 20_000)})
		require.Equal(t, errkind.IssuerUnreachable, errkind.Of(err))
		time.Sleep(maxRedialPause)
		_, err = client.Result(ctx, ResultArgs{RequestID: string(make([]byte, 5_000))})
		require.Equal(t, errkind.RequestUnknown, errkind.Of(err), "the next connection serves again")
	})
}

// panickingHandler is a handler whose Records method panics.
type panickingHandler struct{ *testVM }

func (panickingHandler) Records(context.Context, RecordsArgs) (RecordsReply, error) {
	panic("unexpected")
}

// TestHandlerPanicFailsOnlyItsCall guards against a panic in a handler that terminates the process.
func TestHandlerPanicFailsOnlyItsCall(t *testing.T) {
	runWithPlatform(t, func(ctx context.Context, t *testing.T, n *network, core *platform.Core) {
		a := startVM(ctx, n, core, "a", 0)
		require.NoError(t, a.server.Close())
		a.server = Serve(n.listen("a"), panickingHandler{a}, zerolog.Nop())
		defer a.server.Close()
		client := NewClient("a", n.dial, 0)
		defer client.Close()
		_, err := client.Records(ctx, RecordsArgs{})
		require.Equal(t, errkind.Internal, errkind.Of(err))
		_, err = client.Result(ctx, ResultArgs{})
		require.Equal(t, errkind.RequestUnknown, errkind.Of(err))
	})
}
