package jobnode

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/internal/netrpc"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/loadshed"
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/relay"
)

const (
	// minScheduleDelay is the minimum delay between two scheduling passes over the waiting jobs.
	minScheduleDelay = 10 * time.Millisecond
	// passDelayFactor is the minimum delay after a pass as a multiple of its duration: passes get a quarter of the time, the orders and reports the rest.
	passDelayFactor = 3
	// maxScheduleDelay is the longest time without a scheduling pass.
	maxScheduleDelay = 100 * time.Millisecond
	// appendDelay is the minimum delay between two appends of the dispatcher. An append takes 4 ms, and each call to the store is billed.
	appendDelay = 30 * time.Millisecond
	// runLease is the lease of a run: it outlasts a change of dispatcher (about 2.5 s) that follows a renewal by one second.
	runLease = 4 * time.Second
	// serverListDelay is the delay between two reads of the server list, and serverListWait how long a read waits for a new entry.
	serverListDelay = 150 * time.Millisecond
	serverListWait  = 900 * time.Millisecond
	// stateLogInterval is the interval of the log lines on the dispatcher's state.
	stateLogInterval = 5 * time.Second
	// releaseTimeout bounds the last append of a dispatcher or node that stops.
	releaseTimeout = time.Second
)

// dispatcher carries out the decisions of package dispatch while this node holds the dispatcher role.
type dispatcher struct {
	node         *Node
	log          zerolog.Logger
	role         ledger.Dispatcher // as it was claimed first; it counts for machine orders
	store        *platform.StoreClient
	servers      *relay.Client
	follower     *follower
	operators    *operatorFollower
	cancel       context.CancelFunc
	acquiredAt   time.Duration // when this node began to dispatch
	claimedAt    time.Duration // when the claim of the role was sent
	predecessors predecessors

	mu        sync.Mutex
	core      *dispatch.Core
	config    *jobs.Configuration      // the configuration that the core has
	renewedAt time.Duration            // start of the last append that succeeded; appends renew the role lease
	renewing  map[string]chan struct{} // wakes the renewal loop of each server when ends are stored
	puts      []pendingPut             // records of other nodes that wait for the next append
	// putsClosed says that no more records of other nodes are accepted.
	putsClosed bool
	epoch      int64 // the newest epoch that this dispatcher has claimed; only its appends use it
	claimed    int64 // the newest epoch that it may have claimed
	held       bool  // starts are held, because the operators' requests aren't known well enough
	sequence   int64 // number of the last append in this epoch
	appends    dependencyLog
	fenced     atomic.Bool   // another node holds the role, or the sequence of appends is broken
	wake       chan struct{} // wakes the scheduler
	// machineList is the platform's list of machines as it was last read, nil before.
	machineList atomic.Pointer[[]jobs.Machine]
}

// runDispatcher dispatches until the role is lost or ctx ends, and returns the newest epoch that it may have claimed. The role lease counts from the claim,
// because the node may have been suspended since.
func (n *Node) runDispatcher(ctx context.Context, role ledger.Dispatcher, claimedAt time.Duration) int64 {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &dispatcher{
		node: n, log: n.log, role: role, store: n.store, servers: relay.NewClient(n.servers, n.log), follower: n.follower, operators: n.operators, cancel: cancel,
		acquiredAt: boottime.Now(), claimedAt: claimedAt, renewedAt: claimedAt, renewing: map[string]chan struct{}{}, epoch: role.Epoch, claimed: role.Epoch, sequence: 1,
		appends: dependencyLog{name: "appends of the dispatcher", log: n.log}, wake: make(chan struct{}, 1),
	}
	defer d.servers.Close()
	if !d.takeOver() {
		return d.claimed
	}
	defer collectLessOften(n.settings.MemoryMB)()
	defer n.shareMemory()()
	n.admission.current.Store(d)
	defer n.admission.current.Store(nil)
	var wg sync.WaitGroup
	for name, work := range map[string]func(context.Context){
		"servers": d.followServerList, "relays": d.refreshRelays, "records": d.appendLoop, "schedule": d.schedule, "policies": d.requestTickets,
		"machines": d.controlMachines, "state": d.logState,
	} {
		wg.Go(func() { d.guard(name, func() { work(ctx) }) })
	}
	wg.Wait()
	d.release()
	n.metrics.interference.Reset()
	events.Log(n.log, events.DispatcherStopped, d.epoch)
	d.flushEventCounts()
	return d.claimed
}

// takeOver builds the core from the ledger. It reports false if there is no configuration yet, if the ledger is incomplete, or if the
// role is lost already.
func (d *dispatcher) takeOver() bool {
	config := d.operators.view().config
	if config == nil {
		sleep(context.Background(), electionDelay)
		return false
	}
	d.follower.mu.Lock()
	defer d.follower.mu.Unlock()
	if !d.follower.synced || d.follower.ledger.Dispatcher.Incarnation != d.role.Incarnation || d.follower.ledger.Dispatcher.Epoch != d.role.Epoch {
		return false
	}
	bounds := d.node.settings.Bounds
	d.config = config
	d.predecessors = newPredecessors(d.role.Predecessors, d.claimedAt)
	d.core = dispatch.New(dispatch.Params{
		Epoch: d.role.Epoch, Lease: min(runLease, bounds.MaxLease), MaxLease: bounds.MaxLease, PredecessorsUntil: d.predecessors.ordersUntil(d.follower), EarlyStart: bounds.EarlyStart,
		Interference: interferenceModes[d.node.settings.Interference],
		ServerSeenAt: d.follower.serverSeenAt,
	}, d.follower.ledger, config, boottime.Now(), time.Now().UnixMilli())
	d.setEvacuated(d.core)
	d.follower.changes = nil
	events.Log(d.log, events.DispatcherStarted, d.role.Epoch, len(d.follower.ledger.Jobs))
	return true
}

// canSendOrders reports whether orders may still be sent.
func (d *dispatcher) canSendOrders() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mayOrder(boottime.Now())
}

// mayOrder reports whether orders may be sent at a time. d.mu must be held.
func (d *dispatcher) mayOrder(now time.Duration) bool {
	return !d.fenced.Load() && now-d.renewedAt < roleLease+orderGrace
}

// update changes the core under its lock, logs the resulting server problems and job summaries, and sends the resulting orders.
func (d *dispatcher) update(f func(c *dispatch.Core)) {
	orders, problems, summaries := d.apply(f)
	for _, p := range problems {
		events.Log(d.log, events.ServerProblem, p.Server, p.Reason, p.Runs, p.Age.Seconds())
	}
	for _, s := range summaries {
		events.Log(d.log, events.JobEnded, s.Job, s.Queue, s.Workspace, string(s.Phase), s.WaitedMS, s.TookMS, s.FailedRuns, s.LateAtStart, s.SlackAtStartMS, s.Crashes)
	}
	d.sendOrders(orders)
}

// apply changes the core at the current time and returns the resulting orders, server problems and job summaries.
func (d *dispatcher) apply(f func(c *dispatch.Core)) ([]dispatch.Order, []dispatch.ServerProblem, []dispatch.JobSummary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advanceClock()
	f(d.core)
	return d.core.TakeOrders(), d.core.TakeServerProblems(), d.core.TakeJobSummaries()
}

// guard runs a part of the dispatcher and recovers from panics. A panic ends the dispatcher but not the process, which keeps answering calls while
// another node takes over.
func (d *dispatcher) guard(name string, f func()) {
	defer func() {
		if r := recover(); r != nil {
			netrpc.LogPanic(d.log, name, r)
			d.cancel()
		}
	}()
	f()
}

// advanceClock sets the core's time. d.mu must be held.
func (d *dispatcher) advanceClock() { d.advanceTo(boottime.Now()) }

// advanceTo sets the core's time to the given one. d.mu must be held.
func (d *dispatcher) advanceTo(now time.Duration) {
	d.core.Advance(now, time.Now().UnixMilli(), now-d.renewedAt < roleLease)
	d.core.WasSole(min(now, d.renewedAt+roleLease))
}

func (d *dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// schedule runs a scheduling pass whenever something has changed, and at the latest after maxScheduleDelay.
func (d *dispatcher) schedule(ctx context.Context) {
	use := newProcessorUse()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-d.follower.signal:
		case <-time.After(maxScheduleDelay):
		}
		began := time.Now()
		d.schedulePass()
		took := use.addPass(began)
		d.logProcessorUse(use)
		sleep(ctx, passDelay(took))
	}
}

// passDelay returns the delay after a scheduling pass.
func passDelay(took time.Duration) time.Duration {
	return min(max(minScheduleDelay, passDelayFactor*took), maxScheduleDelay)
}

func (d *dispatcher) schedulePass() {
	for _, ch := range d.follower.takeChanges() {
		if ch.kind != ledger.DispatcherChanged {
			d.applyChange(ch)
		} else if d.isReplaced() {
			d.cancel()
			return
		}
	}
	if !d.canSendOrders() {
		return
	}
	stoppedAt := d.watchOtherNodes()
	d.update(func(c *dispatch.Core) {
		c.PredecessorsStoppedBy(stoppedAt)
		if config := d.operators.view().config; config != d.config {
			d.config = config
			c.SetConfiguration(config)
		}
		d.setEvacuated(c)
		c.RelocateEvacuated()
		c.Schedule()
	})
}

func (d *dispatcher) applyChange(ch change) {
	d.follower.mu.Lock()
	e := d.follower.ledger.Jobs[ch.id]
	var copied ledger.Entry
	if e != nil {
		copied = *e
	}
	d.follower.mu.Unlock()
	if e == nil {
		return
	}
	d.update(func(c *dispatch.Core) {
		c.AddJob(&copied)
		if copied.Cancelled {
			c.Cancel(ch.id)
		}
	})
}

// isReplaced reports whether the ledger names another dispatcher.
func (d *dispatcher) isReplaced() bool {
	d.follower.mu.Lock()
	defer d.follower.mu.Unlock()
	return d.follower.ledger.Dispatcher.Incarnation != d.role.Incarnation
}

// tokenRefused handles the refusal of a call with a fencing token, which may be outdated because this dispatcher uses a newer one.
func (d *dispatcher) tokenRefused(server string, token int64) {
	d.mu.Lock()
	newer := d.core.TokenRefused(server, token)
	d.mu.Unlock()
	if !newer {
		d.superseded(server)
	}
}

// superseded stops this dispatcher because a server has seen the fencing token of its successor.
func (d *dispatcher) superseded(server string) {
	if d.fenced.CompareAndSwap(false, true) {
		events.Log(d.log, events.OrderFenced, server, d.role.Epoch)
	}
	d.cancel()
}

// followServerList follows the platform's list of servers.
func (d *dispatcher) followServerList(ctx context.Context) {
	d.startRenewals(ctx) // servers that a predecessor may have given work to
	from, caughtUp := int64(-1), false
	list := newServerList(d.log)
	reads := dependencyLog{name: "list of servers", log: d.log}
	for ctx.Err() == nil {
		var err error
		from, caughtUp, err = d.stepServerList(ctx, list, from, caughtUp)
		reads.report(err)
		if err != nil {
			sleep(ctx, storeRetryDelay)
			continue
		}
		d.startRenewals(ctx)
		d.wakeUp()
		sleep(ctx, serverListDelay)
	}
}

// stepServerList reads and applies the entries from an offset on, or the newest entry of each server if the offset is below 0. It returns where to continue,
// and whether it has reached the end of the log: only then the list is complete.
func (d *dispatcher) stepServerList(ctx context.Context, list *serverList, from int64, caughtUp bool) (int64, bool, error) {
	if from < 0 {
		records, end, err := d.store.LatestByKey(ctx, platform.TopicServers)
		if err != nil {
			return -1, false, err
		}
		d.update(func(c *dispatch.Core) { list.restore(c, records) })
		return end, false, nil
	}
	var wait time.Duration
	if caughtUp {
		wait = serverListWait
	}
	page, err := d.store.Read(ctx, platform.TopicServers, from, wait, platform.MaxPageKB)
	if errors.Is(err, platform.ErrRecordsDeleted) {
		return -1, false, err
	}
	if err != nil {
		return from, false, err
	}
	caughtUp = page.Next >= page.End
	d.update(func(c *dispatch.Core) {
		list.applyRecords(c, page.Records)
		if caughtUp {
			c.ServerListComplete()
		}
	})
	return page.Next, caughtUp, nil
}

// flushEventCounts moves the core's event counts into the metrics. Answers to orders may still arrive while a dispatcher stops.
func (d *dispatcher) flushEventCounts() map[string]int {
	d.mu.Lock()
	counts := d.core.TakeEventCounts()
	d.mu.Unlock()
	d.node.metrics.add(counts)
	return counts
}

// logState removes expired records, and logs the number of jobs by state and the events since the last line.
func (d *dispatcher) logState(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, stateLogInterval)
		d.removeExpired()
		var n dispatch.Counts
		var loads map[string]loadshed.ServiceLoad
		var unknown []string
		d.update(func(c *dispatch.Core) { n, loads, unknown = c.Counts(), c.ServiceLoads(), c.EvacuatedWithoutServers() })
		d.reportInterference()
		counts := d.flushEventCounts()
		events.Log(d.log, events.DispatchState, n.LongRunning, n.Started, n.OnTime, n.OverShare, n.Late, n.Runs, n.Servers, counts)
		for _, name := range unknown {
			events.Log(d.log, events.EvacuationUnknown, name)
		}
		for _, name := range slices.Sorted(maps.Keys(loads)) {
			s := loads[name]
			events.Log(d.log, events.ServiceLoad, name, s.Servers, s.FreeServers, s.ArrivingServers, s.Backlog.Seconds(), s.LateBacklog.Seconds())
		}
	}
}
