// Package entry is the engine of one entry VM: the path of a request from its key to its outcome, and the loops that drive the
// decisions of the other packages.
//
// Locking: Engine.mu guards all decision state (queues, holder, issuer, results, tasks, servers). Functions whose name ends in
// Locked need it. It is never held during I/O. fleet.Store may be read under it, but it is never taken inside Store.View.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/admission"
	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/claims"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/keys"
	"example.org/comfreyrouter/limits"
	"example.org/comfreyrouter/logclient"
	"example.org/comfreyrouter/peer"
	"example.org/comfreyrouter/routing"
)

// Backend is the part of backend.Client that the engine uses.
type Backend interface {
	Run(ctx context.Context, address string, t backend.Task) ([]byte, error)
	Status(ctx context.Context, address string) (backend.Status, error)
	Renew(ctx context.Context, address string, r backend.LeaseRequest) (backend.Status, error)
	Stop(ctx context.Context, address, taskID, holder string, fence uint64) error
	Checkpoint(ctx context.Context, address, taskID, holder string, fence uint64) error
}

// PeerStatus is what a peer said in its last answer to a heartbeat of this VM.
type PeerStatus struct {
	peer.Status
	// AskedAt is when the answered heartbeat was sent.
	AskedAt time.Time
	// Gone is set if the platform's list says that the peer's VM no longer exists.
	Gone bool
}

// Peers are the other entry VMs.
type Peers interface {
	Statuses() []PeerStatus
	Forward(ctx context.Context, peerAddress string, args peer.ForwardArgs) (peer.ResultReply, error)
	Result(ctx context.Context, peerAddress string, args peer.ResultArgs) (peer.ResultReply, error)
}

// LogView tells how current this VM's own reads of the log are.
type LogView interface {
	// ReadAt returns the start of the last read that reached the end of the log.
	ReadAt() time.Time
	// Readable reports whether the last read succeeded.
	Readable() bool
}

// Counters takes the events that become metrics.
type Counters interface {
	Refused(kind errkind.Kind)
	Retried(kind errkind.Kind)
	Finished(outcome errkind.Outcome, class fleet.Class)
	StartDelay(class fleet.Class, d time.Duration)
}

// Options are the settings of an Engine. All interfaces are required.
type Options struct {
	VM            string
	DataCentre    string
	PeerAddress   string
	CallerAddress string
	Incarnation   string // a ULID, higher than those of earlier processes on this VM

	Store     *fleet.Store
	Submitter logclient.Submitter
	Backend   Backend
	Peers     Peers
	LogView   LogView
	Counters  Counters
	Logger    zerolog.Logger // may be left out

	Admission   admission.Options
	Limits      limits.Options
	Health      routing.HealthOptions
	ResultBytes int // memory for kept results, in bytes
	// CloseTimeout bounds the wait for the log when an id is closed before "not run" is answered.
	CloseTimeout time.Duration
	// Linger is how long a non-repeatable task may run on after its deadline, so that its outcome is still learned.
	Linger time.Duration
	// StopGrace is how long a stopped task has to end before its connection is closed.
	StopGrace time.Duration
	Seed      uint64 // of the random choice of servers
}

// DefaultOptions returns the settings that have defaults.
func DefaultOptions() Options {
	return Options{
		Admission:    admission.DefaultOptions(),
		Limits:       limits.DefaultOptions(),
		Health:       routing.DefaultHealthOptions(),
		ResultBytes:  16 << 20,
		CloseTimeout: time.Second,
		Linger:       30 * time.Second,
		StopGrace:    2 * time.Second,
	}
}

// Retry budget of requests that may have started: 10% of the requests and a burst.
const (
	retryPercent = 10
	retryBurst   = 20
)

// Engine is the engine of one entry VM.
type Engine struct {
	options Options
	// base lives until Run ends. Tasks and claims outlive the callers that caused them, but not the engine.
	base context.Context
	stop context.CancelFunc
	jobs atomic.Int64 // work that Shutdown waits for: calls in progress and late records

	mu       sync.Mutex
	holder   *limits.Holder
	watcher  *limits.Watcher
	issuer   *claims.Issuer
	results  *claims.Results
	health   *routing.Health
	full     *routing.FullMarks
	probers  map[string]*routing.Prober // by pool
	waking   map[string]bool            // pools for which a later dispatch is due
	budget   *routing.RetryBudget
	runTimes *routing.RunTimes
	rnd      *rand.Rand

	member       fleet.Member // own entry in the fold
	joined       bool
	shuttingDown bool
	left         bool

	flights      map[string]*flight       // requests in progress by scope and id
	pending      map[string]*pendingClaim // claims that the log has not confirmed, by scope and id
	queues       map[string]*fairshare.Queue
	shares       map[string]*poolShares // by pool
	calls        map[uint64]*call       // waiting calls by item id
	waiting      map[string]int         // by team
	waitingBytes int
	nextItem     uint64

	tasks    map[string]*task
	nextTask uint64
	running  map[string]map[string]int // own tasks by pool and team
	local    map[string]int            // own tasks by server

	servers map[string]*server
	byPool  map[string][]string // sorted names of the servers of each pool

	remoteLoad    map[string]int // peers' tasks by server
	remoteRunning map[string]map[string]int
	peerLoads     []peer.Status // of the peers whose numbers are new enough
	withdrawn     map[string]bool
	heard         map[string]keys.PeerView // what others said in their heartbeats, by incarnation
	freshUntil    time.Time                // until when keys may be accepted on this VM's view
}

// New returns an engine. Run drives it.
func New(o Options) *Engine {
	base, stop := context.WithCancel(context.Background())
	return &Engine{
		options:       o,
		base:          base,
		stop:          stop,
		holder:        limits.NewHolder(o.Limits),
		watcher:       limits.NewWatcher(o.Limits),
		issuer:        claims.NewIssuer(o.Incarnation),
		results:       claims.NewResults(o.ResultBytes),
		health:        routing.NewHealth(o.Health),
		full:          routing.NewFullMarks(routing.FullMarkDuration),
		probers:       map[string]*routing.Prober{},
		waking:        map[string]bool{},
		budget:        routing.NewRetryBudget(retryPercent, retryBurst),
		runTimes:      routing.NewRunTimes(),
		rnd:           rand.New(rand.NewPCG(o.Seed, 1)),
		flights:       map[string]*flight{},
		pending:       map[string]*pendingClaim{},
		queues:        map[string]*fairshare.Queue{},
		shares:        map[string]*poolShares{},
		calls:         map[uint64]*call{},
		waiting:       map[string]int{},
		tasks:         map[string]*task{},
		running:       map[string]map[string]int{},
		local:         map[string]int{},
		servers:       map[string]*server{},
		byPool:        map[string][]string{},
		remoteLoad:    map[string]int{},
		remoteRunning: map[string]map[string]int{},
		withdrawn:     map[string]bool{},
		heard:         map[string]keys.PeerView{},
	}
}

// Periods of the loops.
const (
	tickPeriod   = 250 * time.Millisecond
	grantPeriod  = 50 * time.Millisecond
	renewPeriod  = 60 * time.Second
	serverPeriod = time.Second
	watchPeriod  = time.Second
)

// Run drives the engine until ctx ends, and then returns nil. It returns an error of kind fenced once the fold has barred this
// incarnation; the process must then start again as a new one.
func (e *Engine) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { e.joinLoop(ctx, cancel) })
	loops.Go(func() { e.foldLoop(ctx, cancel) })
	loops.Go(func() { every(ctx, tickPeriod, e.tick) })
	loops.Go(func() { every(ctx, grantPeriod, func() { e.settleGrants(ctx) }) })
	loops.Go(func() { every(ctx, renewPeriod, func() { e.renewMember(ctx) }) })
	loops.Go(func() { every(ctx, serverPeriod, func() { e.pollServers(ctx) }) })
	loops.Go(func() { every(ctx, watchPeriod, func() { e.submitDue(ctx) }) })
	loops.Go(func() { e.withdrawLoop(ctx) })
	<-ctx.Done()
	e.stop()
	loops.Wait()
	for waited := time.Duration(0); e.jobs.Load() > 0 && waited < e.options.StopGrace; waited += shutdownPoll {
		time.Sleep(shutdownPoll)
	}
	if cause := context.Cause(ctx); errkind.Of(cause) == errkind.Fenced {
		return cause
	}
	return nil
}

// every calls fn now and then once each period until ctx ends. Calls do not overlap.
func every(ctx context.Context, period time.Duration, fn func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		fn()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// goJob runs fn in a goroutine that Shutdown waits for. It may be called with the lock held.
func (e *Engine) goJob(fn func()) {
	e.jobs.Add(1)
	go func() {
		defer e.jobs.Add(-1)
		fn()
	}()
}

// joinRetry is the pause between attempts to join.
const joinRetry = 500 * time.Millisecond

// joinLoop makes this incarnation a member. Until then nothing starts, but requests may wait.
func (e *Engine) joinLoop(ctx context.Context, cancel context.CancelCauseFunc) {
	o := e.options
	join := fleet.Command{Join: &fleet.Join{
		VM: o.VM, DataCentre: o.DataCentre, PeerAddress: o.PeerAddress, CallerAddress: o.CallerAddress,
	}}
	for {
		sentAt := time.Now()
		results, err := o.Submitter.Submit(ctx, join)
		switch {
		case err == nil && results[0].OK():
			e.mu.Lock()
			e.holder.Renewed(sentAt)
			e.mu.Unlock()
			_ = e.refresh() // foldLoop reports the error
			return
		case err == nil && results[0].Kind == errkind.Fenced:
			cancel(results[0].Err())
			return
		}
		if !sleep(ctx, joinRetry) {
			return
		}
	}
}

// foldLoop takes the state from the fold after each change.
func (e *Engine) foldLoop(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		changed := e.options.Store.Changed()
		if err := e.refresh(); err != nil {
			cancel(err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Joined reports whether this incarnation is a member that takes new work.
func (e *Engine) Joined() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.joined && !e.shuttingDown
}

// shutdownPoll is how often Shutdown looks whether all work has ended.
const shutdownPoll = 20 * time.Millisecond

// Shutdown refuses new work, waits until all requests and their tasks have ended, and leaves through the log. The caller stops
// Run afterwards. It returns an error if ctx ends first; the grants are then freed by fencing.
func (e *Engine) Shutdown(ctx context.Context) error {
	e.mu.Lock()
	e.shuttingDown = true
	e.mu.Unlock()
	for !e.idle() {
		if !sleep(ctx, shutdownPoll) {
			return errkind.New(errkind.ShuttingDown, "requests are still running")
		}
	}
	e.mu.Lock()
	issued, floor := e.issuer.Outcomes()
	e.left = true
	e.joined = false
	e.mu.Unlock()
	results, err := e.options.Submitter.Submit(ctx, fleet.Command{Leave: &fleet.Leave{Issued: issued, IssuedFloor: floor}})
	if err != nil {
		return err
	}
	return results[0].Err()
}

func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flights) == 0 && len(e.tasks) == 0 && e.jobs.Load() == 0
}
