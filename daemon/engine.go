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
	w := mustGet[*logclient.Writer](l, serviceWriter)
	f := mustGet[*logclient.Follower](l, serviceFollower)
	p := mustGet[*peers](l, servicePeers)
	b := mustGet[*backend.Client](l, serviceBackend)
	m := mustGet[*metrics.Metrics](l, serviceMetrics)
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
	o.Admission.MaxBodyBytes = limits.MaxBodyBytes
	o.Admission.MaxWaiting = limits.MaxWaiting
	o.Admission.MaxWaitingBytes = limits.MaxWaitingBytes
	o.ResultBytes = limits.ResultsKeptBytes
	o.Seed = uint64(time.Now().UnixNano())
	return o
}

// peerHandler serves the calls of other entry VMs.
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
	e := mustGet[*entry.Engine](l, serviceEngine)
	f := mustGet[*logclient.Follower](l, serviceFollower)
	log := mustGet[*platform](l, serviceLog)
	return peer.Serve(d.listeners.peer, &peerHandler{
		LogSource: peer.LogSource{Follower: f, Store: d.store, Log: log},
		engine:    e,
		codec:     peer.NewLoadCodec(d.store.Config),
		pacer:     peer.NewLoadPacer(),
	}, d.Logger), nil
}

// drain is the first service to stop: it lets the engine finish its requests while the services that they depend on still run.
type drain struct {
	daemon *daemon
	engine *entry.Engine
}

func (d *daemon) newDrain(l kernel.Lookup) (any, error) {
	e := mustGet[*entry.Engine](l, serviceEngine)
	return &drain{daemon: d, engine: e}, nil
}

// Run logs when the VM is ready, waits for ctx to end, and then drains the engine.
func (s *drain) Run(ctx context.Context) error {
	s.awaitReady(ctx)
	<-ctx.Done()
	logger := s.daemon.Logger
	events.Log(logger, events.Draining, s.runningTasks())
	// Accepts requests until the load balancer has noticed that the VM is not ready.
	s.daemon.stopping.Store(true)
	time.Sleep(s.daemon.Settings.StopDelay)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.daemon.Settings.DrainTimeout)
	defer cancel()
	err := s.engine.Shutdown(shutdownCtx)
	if errors.Is(shutdownCtx.Err(), context.DeadlineExceeded) && s.runningTasks() > 0 {
		events.Log(logger, events.ShutdownTimedOut, s.runningTasks())
	}
	return err
}

func (s *drain) runningTasks() int {
	n := 0
	for _, tasks := range s.engine.Status().Outstanding {
		n += tasks
	}
	return n
}

// readyPollInterval is the interval at which the drain service checks whether the engine has joined.
const readyPollInterval = 100 * time.Millisecond

func (s *drain) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
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

// logVersions logs each configuration version that comes into force, until ctx ends.
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

// unavailableServers returns the number of backend servers that are out of service.
func unavailableServers(store *fleet.Store) int {
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
