package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/entry"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/standin/backendserver"
	"example.org/comfreyrouter/internal/standin/platform"
	"example.org/comfreyrouter/logclient"
	"example.org/comfreyrouter/peer"
	"example.org/comfreyrouter/reconcile"
)

// vm is one process of an entry VM, assembled as package daemon does.
type vm struct {
	*entry.Engine
	world       *world
	name        string
	host        *host
	caller      platform.Caller
	incarnation string
	store       *fleet.Store
	writer      *logclient.Writer
	follower    *logclient.Follower
	exchange    *peer.Exchange
	client      *backend.Client
	server      *peer.Server
	cancel      context.CancelFunc
	running     sync.WaitGroup
	killed      atomic.Bool
	limitTag    int    // tag of the limit that it has read; guarded by oracle.mu
	version     uint64 // last observed version of the configuration; used only by oracle.watch
}

func peerAddress(i int) string { return fmt.Sprintf("10.0.1.%d:7100", i+1) }

// startVM starts a new incarnation of entry VM i.
func (w *world) startVM(i int) *vm {
	dataCentre := dataCentreOf(i)
	v := &vm{
		world: w, name: fmt.Sprintf("e%d", i), host: &host{dataCentre: dataCentre}, incarnation: w.newID(), store: fleet.NewStore(),
	}
	v.caller = platform.Caller{Name: v.incarnation, DataCentre: dataCentre}
	v.store.OnApplied(func(fleet.Applied) { w.oracle.limitRead(v) })
	v.store.OnInstalled(func(*fleet.State) { w.oracle.limitRead(v) })
	dial := w.net.dialer(v.host)
	log := w.core.Client(v.caller)
	v.exchange = peer.NewExchange(peer.ExchangeOptions{
		Store: v.store, Address: peerAddress(i), Seeds: w.seeds(), Status: func() peer.Status { return v.Status() },
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "", address) },
	})
	v.follower = logclient.NewFollower(logclient.FollowerOptions{Log: log, Store: v.store, Fallback: v.exchange})
	v.writer = logclient.NewWriter(logclient.WriterOptions{Log: log, Store: v.store, Incarnation: v.incarnation, Fallback: v.exchange})
	v.client = backend.New(backend.Options{MaxConnsPerServer: 16, DialContext: dial})
	o := entry.DefaultOptions()
	o.VM, o.DataCentre, o.PeerAddress, o.Incarnation = v.name, dataCentre, peerAddress(i), v.incarnation
	o.Store, o.Submitter, o.Backend, o.Peers, o.LogView, o.Counters = v.store, v.writer, v.client, v, v.follower, nullCounters{}
	o.Limits.Lease = grantLease
	v.Engine = entry.New(o)
	v.server = peer.Serve(w.net.listen(v.host, peerAddress(i)), handler{peer.LogSource{Follower: v.follower, Store: v.store, Log: log}, v}, zerolog.Nop())
	v.run(i)
	return v
}

func (v *vm) run(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	reconciler := reconcile.New(reconcile.Options{
		Store: v.store, Submitter: v.writer, Servers: v.client, Platform: v, View: v,
		Incarnation: v.incarnation, DataCentre: v.host.dataCentre, Logger: zerolog.Nop(),
	})
	for _, run := range []func(context.Context) error{v.follower.Run, v.writer.Run, v.exchange.Run, reconciler.Run} {
		v.running.Go(func() { _ = run(ctx) })
	}
	v.running.Go(func() {
		if errkind.Of(v.Run(ctx)) == errkind.Fenced && ctx.Err() == nil {
			go v.world.replace(i, v) // as the daemon's supervisor does
		}
	})
}

// kill ends the process abruptly: its connections break and its answers are ignored from now on.
func (v *vm) kill() {
	v.killed.Store(true)
	v.world.net.kill(v.host)
	v.end()
}

// end stops all loops of the process, waits for them, and closes its connections.
func (v *vm) end() {
	v.cancel()
	v.running.Wait()
	_ = v.server.Close()
	v.client.Close()
	v.world.net.kill(v.host)
}

// shutdown ends the process by a graceful shutdown.
func (v *vm) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	err := v.Shutdown(ctx)
	if err != nil {
		v.killed.Store(true)
	}
	v.end()
	return err
}

func (v *vm) Statuses() []entry.PeerStatus {
	var out []entry.PeerStatus
	for _, s := range v.exchange.Statuses() {
		out = append(out, entry.PeerStatus{Status: s.Status, AskedAt: s.AskedAt})
	}
	return out
}

func (v *vm) Forward(ctx context.Context, address string, args peer.ForwardArgs) (peer.ResultReply, error) {
	return v.exchange.Client(address).Forward(ctx, args)
}

func (v *vm) Result(ctx context.Context, address string, args peer.ResultArgs) (peer.ResultReply, error) {
	return v.exchange.Client(address).Result(ctx, args)
}

func (v *vm) Confirmed() bool {
	return v.follower.Readable() && time.Since(v.follower.ReadAt()) <= freshness
}

func (v *vm) RunningTasks() map[string]int { return v.Status().Outstanding }

func (v *vm) VMs(ctx context.Context) (map[string]string, error) {
	list, err := v.world.core.VMs(ctx, v.caller)
	out := map[string]string{}
	for _, e := range list {
		out[e.Name] = string(e.State)
	}
	return out, err
}

func (v *vm) Reboot(ctx context.Context, name, key string) error {
	return v.world.core.Reboot(ctx, v.caller, name, key)
}

// handler serves the RPCs of peers.
type handler struct {
	peer.LogSource
	vm *vm
}

func (h handler) Heartbeat(_ context.Context, from peer.Status) (peer.Status, error) {
	h.vm.HeartbeatAnswered(from)
	return h.vm.Status(), nil
}

func (h handler) Forward(ctx context.Context, args peer.ForwardArgs) (peer.ResultReply, error) {
	return h.vm.HandleForward(ctx, args), nil
}

func (h handler) Result(_ context.Context, args peer.ResultArgs) (peer.ResultReply, error) {
	return h.vm.HandleResult(args), nil
}

type nullCounters struct{}

func (nullCounters) Refused(errkind.Kind)                  {}
func (nullCounters) Retried(errkind.Kind)                  {}
func (nullCounters) Finished(errkind.Outcome, fleet.Class) {}
func (nullCounters) StartDelay(fleet.Class, time.Duration) {}

// backendProcess is one boot of a backend server; a restart makes another.
type backendProcess struct {
	*backendserver.Server
	host *host
	http *http.Server
	dead atomic.Bool
}

func serverName(i int) string    { return fmt.Sprintf("s%d", i) }
func serverAddress(i int) string { return fmt.Sprintf("10.0.2.%d:80", i+1) }

// startServer boots backend server i.
func (w *world) startServer(i int) *backendProcess {
	s := &backendProcess{host: &host{dataCentre: dataCentreOf(i)}}
	s.Server = backendserver.New(backendserver.Options{Name: serverName(i), Slots: slots, Run: runTask, OnStart: func(t backend.Task) {
		if !s.dead.Load() {
			w.started(i, t)
		}
	}})
	s.http = &http.Server{Handler: s.Handler()}
	l := w.net.listen(s.host, serverAddress(i))
	go func() { _ = s.http.Serve(l) }()
	return s
}

func (w *world) killServer(s *backendProcess) {
	s.dead.Store(true)
	w.net.kill(s.host)
	_ = s.http.Close()
}

func answerTo(order string) string { return "the answer to " + order }

// runTask returns an answer derived from the order rather than a fixed body, so that an answer shows which request it was computed for.
func runTask(ctx context.Context, t backend.Task, s backendserver.Signals) ([]byte, error) {
	_, err := backendserver.Sleep(ctx, t, s)
	if err != nil {
		return nil, err
	}
	return []byte(answerTo(orderOf(t))), nil
}

func orderOf(t backend.Task) string {
	var in backendserver.SleepTask
	_ = json.Unmarshal(t.Body, &in)
	return in.Order
}
