// Package daemon builds and runs the services of one entry VM. The comfreyrouter command and any other program that runs an entry VM
// in its own process only call Run.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/callerapi"
	"example.org/comfreyrouter/entry"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/httpserve"
	"example.org/comfreyrouter/internal/ingress"
	"example.org/comfreyrouter/kernel"
	"example.org/comfreyrouter/logclient"
	"example.org/comfreyrouter/metrics"
	"example.org/comfreyrouter/operatorapi"
	"example.org/comfreyrouter/peer"
	"example.org/comfreyrouter/reconcile"
	"example.org/comfreyrouter/settings"
)

// Names of the services of an entry VM.
const (
	serviceMetrics   = "metrics"
	serviceStore     = "store"
	serviceLog       = "log" // the platform's client: the log, the list of VMs and reboots
	servicePeers     = "peers"
	serviceFollower  = "follower"
	serviceWriter    = "writer"
	serviceSnapshots = "snapshots"
	serviceBackend   = "backend"
	serviceEngine    = "engine"
	servicePeerRPC   = "peer-rpc"
	serviceReconcile = "reconcile"
	serviceCallers   = "callers"
	serviceOperators = "operators"
	serviceDrain     = "drain"
	serviceWatch     = "watch"
)

// Options configure an entry VM.
type Options struct {
	Settings settings.Settings
	Logger   zerolog.Logger
	// OnListening, if set, is called with the addresses once all listeners are open. They hold the ports that the
	// operating system has assigned for port 0.
	OnListening func(Addresses)
}

// Addresses are the addresses on which an entry VM listens.
type Addresses struct {
	Caller, Operator, Peer string
}

// Run runs an entry VM until ctx ends, and then shuts it down gracefully. It returns an error of kind fenced if this incarnation has
// been fenced, that is, excluded from the fleet for good; the process may be restarted at once and joins as a new incarnation.
func Run(ctx context.Context, o Options) error {
	d := &daemon{
		Options:     o,
		store:       fleet.NewStore(),
		incarnation: ulid.Make().String(),
	}
	if err := d.listen(); err != nil {
		return err
	}
	k := kernel.New()
	for _, s := range d.services() {
		if err := k.Register(s); err != nil {
			return err
		}
	}
	s := o.Settings
	a := d.addresses()
	events.Log(o.Logger, events.Started, s.Name, s.DataCentre, d.incarnation, a.Caller, a.Operator, a.Peer)
	if o.OnListening != nil {
		o.OnListening(a)
	}
	err := k.Run(ctx)
	if errkind.Of(err) == errkind.Fenced {
		events.Log(o.Logger, events.SelfFenced, d.incarnation)
	}
	if err != nil {
		events.Log(o.Logger, events.FatalError, err)
		return err
	}
	events.Log(o.Logger, events.Stopped)
	return nil
}

// daemon holds what the services of one entry VM share.
type daemon struct {
	Options
	store       *fleet.Store
	incarnation string
	stopping    atomic.Bool // set when a graceful shutdown begins
	listeners   struct{ caller, operator, peer net.Listener }
}

// listen opens all listeners, so that a port in use is reported before any service starts.
func (d *daemon) listen() error {
	s := d.Settings
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.CallerAddress.String(), &d.listeners.caller},
		{s.OperatorAddress.String(), &d.listeners.operator},
		{s.PeerAddress.String(), &d.listeners.peer},
	} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			d.closeListeners()
			return err
		}
		*l.listener = opened
	}
	return nil
}

func (d *daemon) closeListeners() {
	for _, l := range []net.Listener{d.listeners.caller, d.listeners.operator, d.listeners.peer} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (d *daemon) addresses() Addresses {
	return Addresses{
		Caller:   d.listeners.caller.Addr().String(),
		Operator: d.listeners.operator.Addr().String(),
		Peer:     d.listeners.peer.Addr().String(),
	}
}

func (d *daemon) services() []kernel.Service {
	return []kernel.Service{
		{Name: serviceMetrics, New: func(kernel.Lookup) (any, error) { return metrics.New(), nil }},
		{Name: serviceStore, New: func(kernel.Lookup) (any, error) { return d.store, nil }},
		{Name: serviceLog, New: d.newLog},
		{Name: serviceBackend, New: d.newBackend},
		{Name: servicePeers, DependsOn: []string{serviceStore, serviceLog}, New: d.newPeers},
		{Name: serviceFollower, DependsOn: []string{serviceMetrics, serviceStore, serviceLog, servicePeers}, New: d.newFollower},
		{Name: serviceWriter, DependsOn: []string{serviceMetrics, serviceStore, serviceLog, serviceFollower, servicePeers}, New: d.newWriter},
		{Name: serviceSnapshots, DependsOn: []string{serviceMetrics, serviceStore, serviceFollower, serviceWriter}, New: d.newSnapshotter},
		{
			Name:      serviceEngine,
			DependsOn: []string{serviceMetrics, serviceStore, serviceFollower, serviceWriter, servicePeers, serviceBackend},
			New:       d.newEngine,
		},
		{Name: servicePeerRPC, DependsOn: []string{serviceEngine, serviceFollower, serviceStore, serviceLog}, New: d.newPeerServer},
		{
			Name:      serviceReconcile,
			DependsOn: []string{serviceStore, serviceWriter, serviceBackend, serviceLog, serviceEngine, serviceFollower, servicePeers},
			New:       d.newReconciler,
		},
		{Name: serviceWatch, DependsOn: []string{serviceStore, serviceEngine, serviceFollower}, New: d.newWatch},
		{Name: serviceCallers, DependsOn: []string{serviceMetrics, serviceEngine}, New: d.newCallers},
		{
			Name:      serviceOperators,
			DependsOn: []string{serviceMetrics, serviceStore, serviceWriter, serviceEngine, serviceFollower, servicePeers},
			New:       d.newOperators,
		},
		{
			Name: serviceDrain,
			DependsOn: []string{
				serviceEngine, serviceCallers, serviceOperators, servicePeerRPC, serviceReconcile, serviceSnapshots, serviceWatch,
			},
			New: d.newDrain,
		},
	}
}

// mustGet returns a service that is declared in DependsOn. It panics for any other: a programming error in this package, which shows at
// the first start.
func mustGet[T any](l kernel.Lookup, name string) T {
	value, err := kernel.Get[T](l, name)
	if err != nil {
		panic(err)
	}
	return value
}

func (d *daemon) newLog(kernel.Lookup) (any, error) {
	return newPlatform(logclient.NewHTTPClient(logclient.HTTPOptions{
		BaseURL:    "http://" + d.Settings.PlatformAddress.String(),
		Caller:     d.Settings.Name,
		DataCentre: d.Settings.DataCentre,
	})), nil
}

func (d *daemon) newBackend(kernel.Lookup) (any, error) {
	return backend.New(backend.Options{
		MaxConnsPerServer: d.Settings.Limits.ConnectionsPerBackendServer,
		MaxAnswerBytes:    int64(d.Settings.Limits.MaxAnswerBytes),
	}), nil
}

// newPeers builds the heartbeat exchange. The engine, which provides this VM's own status, is built later and set by newEngine.
func (d *daemon) newPeers(l kernel.Lookup) (any, error) {
	seeds := make([]string, 0, len(d.Settings.Peers))
	for _, p := range d.Settings.Peers {
		seeds = append(seeds, p.String())
	}
	p := &peers{platform: mustGet[*platform](l, serviceLog)}
	p.Exchange = peer.NewExchange(peer.ExchangeOptions{
		Store: d.store, Address: d.addresses().Peer, Seeds: seeds, Status: p.ownStatus,
	})
	return p, nil
}

func (d *daemon) newFollower(l kernel.Lookup) (any, error) {
	platform := mustGet[*platform](l, serviceLog)
	p := mustGet[*peers](l, servicePeers)
	m := mustGet[*metrics.Metrics](l, serviceMetrics)
	return logclient.NewFollower(logclient.FollowerOptions{
		Log: platform, Store: d.store, Fallback: p.Exchange, Count: d.eventCounter(m),
	}), nil
}

func (d *daemon) newWriter(l kernel.Lookup) (any, error) {
	platform := mustGet[*platform](l, serviceLog)
	p := mustGet[*peers](l, servicePeers)
	m := mustGet[*metrics.Metrics](l, serviceMetrics)
	return logclient.NewWriter(logclient.WriterOptions{
		Log: platform, Store: d.store, Incarnation: d.incarnation, Fallback: p.Exchange, Count: d.eventCounter(m),
	}), nil
}

func (d *daemon) newSnapshotter(l kernel.Lookup) (any, error) {
	w := mustGet[*logclient.Writer](l, serviceWriter)
	f := mustGet[*logclient.Follower](l, serviceFollower)
	m := mustGet[*metrics.Metrics](l, serviceMetrics)
	return logclient.NewSnapshotter(logclient.SnapshotterOptions{
		Store: d.store, Submitter: w, Incarnation: d.incarnation, FirstOffset: f.FirstOffset, Count: d.eventCounter(m),
	}), nil
}

// callerGrace bounds the time for answers to reach their callers at shutdown. The drain service has finished the requests before.
const callerGrace = 2 * time.Second

// httpService is a kernel service that serves HTTP.
type httpService struct {
	listener net.Listener
	handler  http.Handler
	grace    time.Duration // bounds the calls in progress at shutdown
	guard    *ingress.Guard
}

// Run serves HTTP until ctx ends.
func (s *httpService) Run(ctx context.Context) error {
	return httpserve.ServeGuarded(ctx, s.listener, s.handler, s.grace, s.guard)
}

func (d *daemon) newCallers(l kernel.Lookup) (any, error) {
	e := mustGet[*entry.Engine](l, serviceEngine)
	o := callerapi.DefaultOptions()
	o.MaxBodyBytes = d.Settings.Limits.MaxBodyBytes
	o.MaxTotalBodyBytes = int64(d.Settings.Limits.MaxWaitingBytes)
	return &httpService{
		listener: d.listeners.caller,
		handler:  d.closeWhenStopping(callerapi.New(e, o)),
		grace:    callerGrace,
		guard:    d.callerGuard(mustGet[*metrics.Metrics](l, serviceMetrics)),
	}, nil
}

// closeWhenStopping makes answers close their connections once a graceful shutdown has begun. Otherwise a caller could send its next
// request on a connection that is being closed.
func (d *daemon) closeWhenStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
			if r.URL.Path == callerapi.ReadyPath {
				http.Error(w, "stopping", http.StatusServiceUnavailable)
				return
			}
		}
		h.ServeHTTP(w, r)
	})
}

func (d *daemon) newOperators(l kernel.Lookup) (any, error) {
	m := mustGet[*metrics.Metrics](l, serviceMetrics)
	v := d.newView(l)
	m.RegisterGauges(v.gauges())
	api := operatorapi.New(operatorapi.Options{
		Store:         d.store,
		Submitter:     mustGet[*logclient.Writer](l, serviceWriter),
		Status:        v,
		KeyWithdrawer: v.engine,
		TokenSHA256:   d.Settings.OperatorTokenSHA256,
		OnRefused:     m.Refused,
		Logger:        d.Logger,
	})
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.Handler())
	mux.Handle("/", api)
	return &httpService{
		listener: d.listeners.operator,
		handler:  mux,
		grace:    operatorapi.CloseTimeout,
		guard:    d.operatorGuard(m),
	}, nil
}

func (d *daemon) newReconciler(l kernel.Lookup) (any, error) {
	w := mustGet[*logclient.Writer](l, serviceWriter)
	p := mustGet[*platform](l, serviceLog)
	b := mustGet[*backend.Client](l, serviceBackend)
	view := d.newView(l)
	return reconcile.New(reconcile.Options{
		Store: d.store, Submitter: w, Servers: b, Platform: p, View: view,
		Incarnation: d.incarnation, DataCentre: d.Settings.DataCentre, Logger: d.Logger,
	}), nil
}
