// Package entry implements the engine of one entry VM. The engine takes a request from authentication to its outcome, and runs the
// periodic loops that feed the decisions of the other packages (admission, claims, fairshare, keys, limits, routing).
//
// An incarnation is one run of the process of an entry VM. The fold is the fleet's state as this VM has computed it from the log (package
// fleet). The view is what the VM knows of the fleet at a given moment: the fold and the peers' last heartbeats.
//
// Locking: Engine.mu guards all decision state (queues, holder, issuer, results, tasks, servers). Functions whose names end in
// Locked must be called with it held. It is never held during I/O. fleet.Store may be read while it is held; it is never acquired
// inside Store.View.
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

// Backend is the part of backend.Client that the engine uses. Its methods are documented there.
type Backend interface {
	Run(ctx context.Context, address string, t backend.Task) ([]byte, error)
	Status(ctx context.Context, address string) (backend.Status, error)
	Renew(ctx context.Context, address string, r backend.LeaseRequest) (backend.Status, error)
	Stop(ctx context.Context, address, taskID, holder string, fence uint64) error
	Checkpoint(ctx context.Context, address, taskID, holder string, fence uint64) error
}

// PeerStatus is a peer's last response to a heartbeat of this VM.
type PeerStatus struct {
	peer.Status
	// AskedAt is when the answered heartbeat was sent.
	AskedAt time.Time
	// Gone is set if the peer's VM no longer exists according to the platform's list of VMs.
	Gone bool
}

// Peers gives access to the other entry VMs.
type Peers interface {
	// Statuses returns the last status of each peer that has answered a heartbeat.
	Statuses() []PeerStatus
	// Forward sends a request to the peer that issued its id, and returns the request's result.
	Forward(ctx context.Context, peerAddress string, args peer.ForwardArgs) (peer.ResultReply, error)
	// Result returns what a peer knows of a request. The reply's kind is RequestUnknown if it knows nothing.
	Result(ctx context.Context, peerAddress string, args peer.ResultArgs) (peer.ResultReply, error)
}

// LogView reports how current this VM's own reads of the log are.
type LogView interface {
	// ReadAt returns the start of the last read that reached the end of the log.
	ReadAt() time.Time
	// Readable reports whether the last read succeeded.
	Readable() bool
}

// Counters receives the events that are counted as metrics.
type Counters interface {
	// Refused counts a response with an error of the given kind.
	Refused(kind errkind.Kind)
	// Retried counts a further attempt after one that ended with the given kind, Checkpointed included.
	Retried(kind errkind.Kind)
	// Finished counts a response, whatever its outcome.
	Finished(outcome errkind.Outcome, class fleet.Class)
	// StartDelay records the time from a request's arrival to its first start.
	StartDelay(class fleet.Class, d time.Duration)
}

// Options are the settings of an Engine. All interfaces are required.
type Options struct {
	VM            string // name of this entry VM
	DataCentre    string
	PeerAddress   string // where the peers reach this VM
	CallerAddress string // where callers reach this VM
	Incarnation   string // a ULID, higher than those of earlier processes on this VM

	Store     *fleet.Store
	Submitter logclient.Submitter
	Backend   Backend
	Peers     Peers
	LogView   LogView
	Counters  Counters
	Logger    zerolog.Logger // optional

	Admission   admission.Options
	Limits      limits.Options
	Health      routing.HealthOptions
	ResultBytes int // memory limit of the result cache, in bytes
	// CloseTimeout limits the wait for the log when an id is closed before "not run" is answered.
	CloseTimeout time.Duration
	// Linger is how long a non-repeatable task may keep running after its deadline, so that its outcome can still be recorded.
	Linger time.Duration
	// StopGrace is how long a task has to end after a stop order before its connection is closed.
	StopGrace time.Duration
	Seed      uint64 // seeds the random choice of servers
}

// DefaultOptions returns Options with the defaults filled in. VM, addresses and interfaces must be set by the caller.
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

// Retry budget for requests that may have started: a percentage of all requests, plus a burst.
const (
	retryPercent = 10
	retryBurst   = 20
)

// Engine accepts, queues, dispatches and retries the requests of one entry VM.
type Engine struct {
	options Options
	// baseCtx is cancelled when Run ends. Tasks and claims may outlive the callers that caused them, but not the engine.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	background atomic.Int64 // goroutines that Shutdown waits for: calls in progress and submissions to the log

	mu                sync.Mutex
	holder            *limits.Holder
	watcher           *limits.Watcher
	issuer            *claims.Issuer
	results           *claims.Results
	health            *routing.Health
	full              *routing.FullMarks
	probers           map[string]*routing.Prober // by pool
	dispatchScheduled map[string]bool            // pools for which a delayed dispatch is scheduled
	budget            *routing.RetryBudget
	runTimes          *routing.RunTimes
	rng               *rand.Rand

	member       fleet.Member // this incarnation's member record in the fold
	joined       bool
	shuttingDown bool
	hasLeft      bool

	inFlight      map[string]*inFlightCall // requests in progress by scope and id
	pending       map[string]*pendingClaim // claims not yet confirmed by the log, by scope and id
	queues        map[string]*fairshare.Queue
	shares        map[string]*poolShares // by pool
	calls         map[uint64]*call       // waiting calls by queue item id
	waitingByTeam map[string]int         // waiting calls by team
	waitingBytes  int
	itemSeq       uint64

	tasks        map[string]*task
	taskSeq      uint64
	localRunning map[string]map[string]int // this VM's tasks by pool and team
	localLoad    map[string]int            // this VM's tasks by server

	servers map[string]*server
	byPool  map[string][]string // sorted names of the servers of each pool

	remoteLoad    map[string]int // peers' tasks by server
	remoteRunning map[string]map[string]int
	peerLoads     []peer.Status // of the peers whose status is not older than peerLoadAge
	withdrawnKeys map[string]bool
	heartbeats    map[string]keys.PeerView // contents of the heartbeats received, by incarnation
	freshUntil    time.Time                // keys may be accepted on this VM's view until then
}

// New returns an engine that does nothing until Run is called.
func New(o Options) *Engine {
	base, stop := context.WithCancel(context.Background())
	return &Engine{
		options:           o,
		baseCtx:           base,
		cancelBase:        stop,
		holder:            limits.NewHolder(o.Limits),
		watcher:           limits.NewWatcher(o.Limits),
		issuer:            claims.NewIssuer(o.Incarnation),
		results:           claims.NewResults(o.ResultBytes),
		health:            routing.NewHealth(o.Health),
		full:              routing.NewFullMarks(routing.FullMarkDuration),
		probers:           map[string]*routing.Prober{},
		dispatchScheduled: map[string]bool{},
		budget:            routing.NewRetryBudget(retryPercent, retryBurst),
		runTimes:          routing.NewRunTimes(),
		rng:               rand.New(rand.NewPCG(o.Seed, 1)),
		inFlight:          map[string]*inFlightCall{},
		pending:           map[string]*pendingClaim{},
		queues:            map[string]*fairshare.Queue{},
		shares:            map[string]*poolShares{},
		calls:             map[uint64]*call{},
		waitingByTeam:     map[string]int{},
		tasks:             map[string]*task{},
		localRunning:      map[string]map[string]int{},
		localLoad:         map[string]int{},
		servers:           map[string]*server{},
		byPool:            map[string][]string{},
		remoteLoad:        map[string]int{},
		remoteRunning:     map[string]map[string]int{},
		withdrawnKeys:     map[string]bool{},
		heartbeats:        map[string]keys.PeerView{},
	}
}

// Periods of the loops.
const (
	tickPeriod        = 250 * time.Millisecond
	grantPeriod       = 50 * time.Millisecond
	renewPeriod       = 60 * time.Second
	serverPeriod      = time.Second
	dueCommandsPeriod = time.Second
)

// Run runs the engine's loops until ctx ends, and then returns nil. It returns an error of kind fenced once the fold has fenced this
// incarnation; the process must then restart with a new one.
func (e *Engine) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { e.joinLoop(ctx, cancel) })
	loops.Go(func() { e.refreshLoop(ctx, cancel) })
	loops.Go(func() { runEvery(ctx, tickPeriod, e.tick) })
	loops.Go(func() { runEvery(ctx, grantPeriod, func() { e.updateGrants(ctx) }) })
	loops.Go(func() { runEvery(ctx, renewPeriod, func() { e.renewMember(ctx) }) })
	loops.Go(func() { runEvery(ctx, serverPeriod, func() { e.pollServers(ctx) }) })
	loops.Go(func() { runEvery(ctx, dueCommandsPeriod, func() { e.submitDueCommands(ctx) }) })
	loops.Go(func() { e.withdrawalLoop(ctx) })
	<-ctx.Done()
	e.cancelBase()
	loops.Wait()
	for waited := time.Duration(0); e.background.Load() > 0 && waited < e.options.StopGrace; waited += shutdownPoll {
		time.Sleep(shutdownPoll)
	}
	if cause := context.Cause(ctx); errkind.Of(cause) == errkind.Fenced {
		return cause
	}
	return nil
}

// runEvery calls fn immediately and then once per period until ctx ends. Calls do not overlap.
func runEvery(ctx context.Context, period time.Duration, fn func()) {
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

// goBackground runs fn in a goroutine that Shutdown waits for. It may be called with Engine.mu held.
func (e *Engine) goBackground(fn func()) {
	e.background.Add(1)
	go func() {
		defer e.background.Add(-1)
		fn()
	}()
}

// joinRetry is the pause between attempts to join.
const joinRetry = 500 * time.Millisecond

// joinLoop submits a join until this incarnation is a member of the fleet. Until then requests are queued, but no task starts.
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
			_ = e.refresh() // refreshLoop reports the error
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

// refreshLoop updates the engine's state after each change of the fold.
func (e *Engine) refreshLoop(ctx context.Context, cancel context.CancelCauseFunc) {
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

// Joined reports whether this incarnation is a member and accepts new work.
func (e *Engine) Joined() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.joined && !e.shuttingDown
}

// shutdownPoll is how often Shutdown and Run check whether all work has ended.
const shutdownPoll = 20 * time.Millisecond

// Shutdown refuses new work, waits until all requests and their tasks have ended, and submits a leave command to the log. The caller
// stops Run afterwards. Shutdown returns an error if ctx ends first; the grants are then freed by fencing.
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
	e.hasLeft = true
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
	return len(e.inFlight) == 0 && len(e.tasks) == 0 && e.background.Load() == 0
}
