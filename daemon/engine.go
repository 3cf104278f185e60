package daemon

import (
	"context"
	"errors"
	"time"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/entry"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/kernel"
	"example.org/comfreyrouter/logclient"
	"example.org/comfreyrouter/metrics"
	"example.org/comfreyrouter/peer"
)

func (d *daemon) newEngine(l kernel.Lookup) (any, error) {
	w := need[*logclient.Writer](l, serviceWriter)
	f := need[*logclient.Follower](l, serviceFollower)
	p := need[*peers](l, servicePeers)
	b := need[*backend.Client](l, serviceBackend)
	m := need[*metrics.Metrics](l, serviceMetrics)
	engine := entry.New(d.engineOptions(w, f, p, b, m))
	p.engine.Store(engine)
	return engine, nil
}

func (d *daemon) engineOptions(w *logclient.Writer, f *logclient.Follower, p *peers, b *backend.Client, m *metrics.Metrics) entry.Options {
	limits := d.Settings.Limits
	o := entry.DefaultOptions()
	o.VM = d.Settings.Name
	o.DataCentre = d.Settings.DataCentre
	o.PeerAddress = d.addresses().Peer
	o.CallerAddress = d.addresses().Caller
	o.Incarnation = d.incarnation
	o.Store = d.store
	o.Submitter = w
	o.Backend = b
	o.Peers = p
	o.LogView = f
	o.Counters = m
	o.Logger = d.Logger
	o.Admission.MaxBody = limits.MaxBodyBytes
	o.Admission.MaxWaiting = limits.MaxWaiting
	o.Admission.MaxWaitingBytes = limits.MaxWaitingBytes
	o.ResultBytes = limits.ResultsKeptBytes
	o.Seed = uint64(time.Now().UnixNano())
	return o
}

// peerHandler answers the calls of peers.
type peerHandler struct {
	peer.LogSource
	engine *entry.Engine
	codec  *peer.LoadCodec
	pacer  *peer.LoadPacer
}

// Heartbeat implements peer.Handler.
func (h *peerHandler) Heartbeat(_ context.Context, from peer.Status) (peer.Status, error) {
	h.engine.HeartbeatAnswered(from)
	return h.pacer.AttachLoad(from.Incarnation, h.engine.Status(), h.codec, time.Now()), nil
}

// Forward implements peer.Handler.
func (h *peerHandler) Forward(ctx context.Context, args peer.ForwardArgs) (peer.ResultReply, error) {
	return h.engine.HandleForward(ctx, args), nil
}

// Result implements peer.Handler.
func (h *peerHandler) Result(_ context.Context, args peer.ResultArgs) (peer.ResultReply, error) {
	return h.engine.HandleResult(args), nil
}

func (d *daemon) newPeerServer(l kernel.Lookup) (any, error) {
	e := need[*entry.Engine](l, serviceEngine)
	f := need[*logclient.Follower](l, serviceFollower)
	log := need[*platform](l, serviceLog)
	return peer.Serve(d.listeners.peer, &peerHandler{
		LogSource: peer.LogSource{Follower: f, Store: d.store, Log: log},
		engine:    e,
		codec:     peer.NewLoadCodec(d.store.Config),
		pacer:     peer.NewLoadPacer(),
	}, d.Logger), nil
}

// drain stops first of all services: it lets the engine finish its requests while everything that they need still runs.
type drain struct {
	daemon *daemon
	engine *entry.Engine
}

func (d *daemon) newDrain(l kernel.Lookup) (any, error) {
	e := need[*entry.Engine](l, serviceEngine)
	return &drain{daemon: d, engine: e}, nil
}

// Run reports when the VM is ready, waits for ctx to end, and then drains.
func (s *drain) Run(ctx context.Context) error {
	s.awaitReady(ctx)
	<-ctx.Done()
	logger := s.daemon.Logger
	events.Log(logger, events.Draining, s.running())
	// Requests are still taken until the load balancer has seen that the VM is not ready.
	s.daemon.stopping.Store(true)
	time.Sleep(s.daemon.Settings.StopDelay)
	wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.daemon.Settings.DrainTimeout)
	defer cancel()
	err := s.engine.Shutdown(wait)
	if errors.Is(wait.Err(), context.DeadlineExceeded) && s.running() > 0 {
		events.Log(logger, events.ShutdownTimedOut, s.running())
	}
	return err
}

func (s *drain) running() int {
	n := 0
	for _, tasks := range s.engine.Status().Outstanding {
		n += tasks
	}
	return n
}

// readyPoll is how often the drain service looks whether the engine has joined.
const readyPoll = 100 * time.Millisecond

func (s *drain) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !s.engine.Joined() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	events.Log(s.daemon.Logger, events.Ready, s.daemon.store.Offset())
	s.logVersions(ctx)
}

// logVersions notes each configuration that comes into force, until ctx ends.
func (s *drain) logVersions(ctx context.Context) {
	last := uint64(0)
	for {
		changed := s.daemon.store.Changed()
		if c := s.daemon.store.Config(); c.Version != last {
			last = c.Version
			events.Log(s.daemon.Logger, events.ConfigInForce, c.Version, c.InForce)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// unavailable returns the number of backend servers that are out of service.
func unavailable(store *fleet.Store) int {
	n := 0
	store.View(func(s *fleet.State) {
		for _, v := range s.VMs {
			if !v.Available() {
				n++
			}
		}
	})
	return n
}
