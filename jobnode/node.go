// Package jobnode runs a node that accepts jobs: it answers callers, follows the ledger of jobs in the platform's store, and is the dispatcher
// while no other node is. A node keeps no state of its own.
package jobnode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/httpserve"
	"example.org/comfreyrouter/internal/ingress"
	"example.org/comfreyrouter/kernel"
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/relay"
)

// Names of the kernel services of a node.
const (
	serviceOperators = "operators"
	serviceFollower  = "follower"
	serviceWriter    = "writer"
	servicePresence  = "presence"
	serviceElector   = "elector"
	serviceCallers   = "callers"
	serviceRelay     = "relay"
	serviceReady     = "ready"
	serviceQueries   = "operators' queries"
)

const (
	// stopDelay is how long a planned stop keeps serving calls after the node has become not ready: the load balancer checks once a second and
	// needs two failures.
	stopDelay = 2300 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for the exit of the process.
	stopMargin = 700 * time.Millisecond
)

// Node is one process that accepts jobs and can be the dispatcher.
type Node struct {
	settings        Settings
	log             zerolog.Logger
	incarnation     string // of this process; includes the node's name, because machines that start together may draw equal random numbers
	store           *platform.StoreClient
	servers         relay.ServerClient
	machines        *platform.MachineClient
	policies        *platform.PolicyClient
	operators       *operatorFollower
	follower        *follower
	writer          *writer
	presence        *presence
	metrics         *nodeMetrics
	admission       *AdmissionService
	admissionClient *admissionClient
	callerGuard     *ingress.Guard
	readyGuard      *ingress.Guard
	stopping        atomic.Bool
}

// Options configures Run.
type Options struct {
	Settings Settings
	Logger   zerolog.Logger
	// OnListening, if set, is called with the addresses for callers and for the load balancer once both listeners are open.
	OnListening func(callers, ready string)
}

// Run runs a node until ctx ends, and then stops it gracefully.
func Run(ctx context.Context, o Options) error {
	s, log := o.Settings, o.Logger
	store := platform.NewStoreClient(s.StoreAddress.String())
	n := &Node{
		settings: s, log: log, incarnation: s.Name + "/" + ulid.Make().String(), store: store,
		operators: newOperatorFollower(store, s.Bounds, log), follower: newFollower(store, log),
		metrics: newMetrics(), admission: &AdmissionService{log: log},
	}
	n.servers = startGuard{platform.NewServerClient(), n.operators}
	n.admissionClient = &admissionClient{admission: n.admission, follower: n.follower, directNodes: s.DirectNodes, log: log}
	n.callerGuard, n.readyGuard = n.newGuards()
	n.operators.onHeaderLimit = n.callerGuard.SetHeaderBytes
	n.writer = newWriter(store, n.admissionClient.put, log)
	n.presence = newPresence(s, n.incarnation, n.follower, store, log)
	if s.MachinesAddress.IsValid() {
		n.machines = platform.NewMachineClient(s.MachinesAddress.String())
	}
	if s.PolicyAddress.IsValid() {
		n.policies = platform.NewPolicyClient(s.PolicyAddress.String())
	}
	callers, err := net.Listen("tcp", s.CallerAddress.String())
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", s.ReadyAddress.String())
	if err != nil {
		return err
	}
	var peers net.Listener
	if s.PeerAddress.IsValid() {
		if peers, err = net.Listen("tcp", s.PeerAddress.String()); err != nil {
			return err
		}
	}
	var queries net.Listener
	if s.OperatorAddress.IsValid() {
		if queries, err = net.Listen("tcp", s.OperatorAddress.String()); err != nil {
			return err
		}
	}
	defer limitHeap(s.MemoryMB)()
	serve := n.untilDrained(ctx)
	k, err := n.kernel(serve, listeners{callers, ready, peers, queries})
	if err != nil {
		return err
	}
	if o.OnListening != nil {
		o.OnListening(callers.Addr().String(), ready.Addr().String())
	}
	events.Log(log, events.Started, s.Name, s.DataCentre, n.incarnation, s.CallerAddress.String(), "", "")
	err = k.Run(ctx)
	events.Log(log, events.Stopped)
	return err
}

// runner adapts a function to a kernel service.
type runner func(ctx context.Context) error

// Run calls the function.
func (r runner) Run(ctx context.Context) error { return r(ctx) }

// listeners are the listeners of a node. Those for peers and for operators' queries may be nil.
type listeners struct{ callers, ready, peers, queries net.Listener }

// kernel registers the node's services. On a planned stop the listeners end first, so that the services that they need still work.
func (n *Node) kernel(serve context.Context, l listeners) (*kernel.Kernel, error) {
	k := kernel.New()
	elect := &elector{node: n.settings.Name, operators: n.operators, incarnation: n.incarnation, store: n.store, follower: n.follower, presence: n.presence, log: n.log, run: n.runDispatcher}
	for _, s := range []struct {
		name      string
		dependsOn []string
		run       runner
	}{
		{serviceOperators, nil, n.operators.Run},
		{serviceFollower, nil, n.follower.Run},
		{serviceWriter, nil, n.writer.Run},
		{serviceCallers, []string{serviceOperators, serviceFollower, serviceWriter}, func(context.Context) error {
			return httpserve.ServeGuarded(serve, l.callers, n.handler(), max(n.settings.Bounds.Grace-stopDelay-stopMargin, time.Second), n.callerGuard)
		}},
		{serviceReady, nil, func(ctx context.Context) error {
			return httpserve.ServeGuarded(ctx, l.ready, n.readyHandler(), time.Second, n.readyGuard)
		}},
		{serviceRelay, nil, func(ctx context.Context) error { return n.serveRelay(ctx, l.peers) }},
		{serviceQueries, []string{serviceFollower}, func(ctx context.Context) error { return n.serveQueries(ctx, l.queries) }},
		{servicePresence, []string{serviceFollower}, n.presence.Run},
		{serviceElector, []string{serviceCallers, serviceReady, servicePresence}, elect.Run},
	} {
		service := kernel.Service{Name: s.name, DependsOn: s.dependsOn, New: func(kernel.Lookup) (any, error) { return s.run, nil }}
		if err := k.Register(service); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// serveRelay carries out the orders of other nodes until ctx ends, if this node listens for other nodes.
func (n *Node) serveRelay(ctx context.Context, peers net.Listener) error {
	if peers == nil {
		<-ctx.Done()
		return nil
	}
	return relay.Serve(ctx, peers, n.servers, map[string]any{admissionServiceName: n.admission}, n.log)
}

// untilDrained returns a context that ends stopDelay after ctx. In between the node isn't ready but keeps serving calls, until the load balancer
// has noticed.
func (n *Node) untilDrained(ctx context.Context) context.Context {
	serve, stop := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		n.stopping.Store(true)
		events.Log(n.log, events.Draining, 0)
		go n.presence.announceStop()
		time.AfterFunc(stopDelay, stop)
	})
	return serve
}

// readyHandler answers whether the node accepts new calls, and serves the metrics.
func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Load() || !n.operators.view().fresh || !n.follower.fresh() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.Handle("GET /metrics", n.metrics.handler())
	return mux
}
