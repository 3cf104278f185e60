package jobnode

import (
	"context"
	"errors"
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
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/relay"
)

const (
	// schedulePause is the least time between two passes over the waiting jobs.
	schedulePause = 10 * time.Millisecond
	// scheduleIdle is the longest time without a pass.
	scheduleIdle = 100 * time.Millisecond
	// storePause is the least time between two appends of the dispatcher. An append takes 4 ms, and each call has a price.
	storePause = 30 * time.Millisecond
	// leaseWanted is the lease of a run: it outlasts the change of the dispatcher (about 2.5 s) after a renewal that is a second old.
	leaseWanted = 4 * time.Second
	// renewWait is how long a renewal waits for an end on a busy server, and renewIdle on an idle one.
	renewWait = 1000 * time.Millisecond
	renewIdle = 2000 * time.Millisecond
	// renewRising is the wait on a server with a long-running task that isn't at work yet: the next machine of a wave waits for it.
	renewRising = 250 * time.Millisecond
	// renewPause is the least time between two renewals of a server; ends that come meanwhile are reported together.
	renewPause = 40 * time.Millisecond
	// renewRetry is the pause after a renewal without an answer.
	renewRetry = 150 * time.Millisecond
	// serversPause is the pause between two reads of the list of servers.
	serversPause = 150 * time.Millisecond
	serversWait  = 900 * time.Millisecond
	// stateEvery is the pause between two lines on the state of the dispatcher.
	stateEvery = 5 * time.Second
	// releaseTimeout bounds the last append of a dispatcher that stops.
	releaseTimeout = time.Second
)

// dispatcher runs the decisions of package dispatch while this node has the place of the dispatcher.
type dispatcher struct {
	node      *Node
	log       zerolog.Logger
	place     ledger.Dispatcher
	store     *platform.StoreClient
	servers   *relay.Client
	follower  *follower
	operators *operators
	cancel    context.CancelFunc
	acquired  time.Duration
	claimed   time.Duration
	formers   formers

	mu      sync.Mutex
	core    *dispatch.Core
	config  *jobs.Configuration // that the core has
	renewed time.Duration       // start of the last append that succeeded
	asking  map[string]bool
	puts    []put // records of other nodes that wait for the next append
	// putsClosed says that no more of them are taken.
	putsClosed bool
	sequence   int64
	appends    link
	fenced     atomic.Bool // another node has the place, or the sequence is broken
	wake       chan struct{}
}

// lead decides until the place is lost or ctx ends. The node may have been suspended since it claimed the place, so the tenure counts from
// the claim.
func (n *Node) lead(ctx context.Context, place ledger.Dispatcher, claimed time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &dispatcher{
		node: n, log: n.log, place: place, store: n.store, servers: relay.NewClient(n.servers, n.log), follower: n.follower, operators: n.operators, cancel: cancel,
		acquired: boottime.Now(), claimed: claimed, renewed: claimed, asking: map[string]bool{}, sequence: 1,
		appends: link{name: "appends of the dispatcher", log: n.log}, wake: make(chan struct{}, 1),
	}
	defer d.servers.Close()
	if !d.takeOver() {
		return
	}
	n.admission.current.Store(d)
	defer n.admission.current.Store(nil)
	var wg sync.WaitGroup
	for name, work := range map[string]func(context.Context){
		"servers": d.followServers, "relays": d.keepRelays, "records": d.storeBatches, "schedule": d.schedule, "policies": d.askPolicies,
		"machines": d.keepMachines, "state": d.reportState,
	} {
		wg.Go(func() { d.guard(name, func() { work(ctx) }) })
	}
	wg.Wait()
	d.release()
	events.Log(n.log, events.DispatcherStopped, place.Epoch)
	d.countEvents()
}

// takeOver builds the core from the ledger. It needs a configuration.
func (d *dispatcher) takeOver() bool {
	config := d.operators.view().config
	if config == nil {
		sleep(context.Background(), electPause)
		return false
	}
	d.follower.mu.Lock()
	defer d.follower.mu.Unlock()
	if d.follower.ledger.Dispatcher.Incarnation != d.place.Incarnation || d.follower.ledger.Dispatcher.Epoch != d.place.Epoch {
		return false
	}
	bounds := d.node.settings.Bounds
	d.config = config
	d.formers = newFormers(d.place.Predecessors, d.claimed)
	d.core = dispatch.New(dispatch.Params{
		Epoch: d.place.Epoch, Lease: min(leaseWanted, bounds.MaxLease), PredecessorsUntil: d.formers.until(d.follower), EarlyStart: bounds.EarlyStart,
	}, d.follower.ledger, config, boottime.Now(), time.Now().UnixMilli())
	d.follower.changes = nil
	events.Log(d.log, events.DispatcherStarted, d.place.Epoch, len(d.follower.ledger.Jobs))
	return true
}

// mayOrder reports whether orders may still be sent.
func (d *dispatcher) mayOrder() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.fenced.Load() && boottime.Now()-d.renewed < tenure+graceOfOrders
}

// update changes the core under its lock, at the present time.
func (d *dispatcher) update(f func(c *dispatch.Core)) {
	orders, notes, ended := d.apply(f)
	for _, n := range notes {
		events.Log(d.log, events.ServerProblem, n.Server, n.Reason, n.Runs, n.Age.Seconds())
	}
	for _, n := range ended {
		events.Log(d.log, events.JobEnded, n.Job, n.Queue, n.Workspace, string(n.Phase), n.WaitedMS, n.TookMS, n.FailedRuns, n.LateAtStart)
	}
	d.send(orders)
}

// apply changes the core, and returns what follows from it.
func (d *dispatcher) apply(f func(c *dispatch.Core)) ([]dispatch.Order, []dispatch.ServerProblem, []dispatch.JobSummary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance()
	f(d.core)
	return d.core.TakeOrders(), d.core.TakeServerProblems(), d.core.TakeJobSummaries()
}

// guard runs a part of the dispatcher. An unexpected error ends the dispatcher, not the process, which goes on answering calls while another node
// takes over.
func (d *dispatcher) guard(name string, f func()) {
	defer func() {
		if r := recover(); r != nil {
			netrpc.LogPanic(d.log, name, r)
			d.cancel()
		}
	}()
	f()
}

// advance sets the core's time. The lock must be held.
func (d *dispatcher) advance() {
	now := boottime.Now()
	d.core.Advance(now, time.Now().UnixMilli(), now-d.renewed < tenure)
}

func (d *dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// schedule passes over the waiting jobs whenever something has changed.
func (d *dispatcher) schedule(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-d.follower.signal:
		case <-time.After(scheduleIdle):
		}
		d.pass()
		sleep(ctx, schedulePause)
	}
}

func (d *dispatcher) pass() {
	for _, ch := range d.follower.takeChanges() {
		if ch.kind == ledger.DispatcherChanged {
			d.cancel()
			return
		}
		d.takeChange(ch)
	}
	if !d.mayOrder() {
		return
	}
	ended := d.watchOthers()
	d.update(func(c *dispatch.Core) {
		c.PredecessorsStoppedBy(ended)
		if config := d.operators.view().config; config != d.config {
			d.config = config
			c.SetConfiguration(config)
		}
		c.Schedule()
	})
}

func (d *dispatcher) takeChange(ch change) {
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

// askServers begins to ask servers that aren't asked yet. Relays are chosen first: hundreds of direct calls at the begin of a dispatcher take as many
// new connections, and the time in which it should take over.
func (d *dispatcher) askServers(ctx context.Context) {
	d.chooseRelays()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range d.core.Servers() {
		if !d.asking[id] {
			d.asking[id] = true
			go d.guard("server "+id, func() { d.askServer(ctx, id) })
		}
	}
}

// askServer renews the leases on one server and takes its reports, until the core no longer wants it.
func (d *dispatcher) askServer(ctx context.Context, id string) {
	for ctx.Err() == nil {
		if !d.mayOrder() {
			sleep(ctx, renewRetry)
			continue
		}
		d.mu.Lock()
		d.advance()
		r, ok := d.core.NextRenewal(id)
		if !ok {
			delete(d.asking, id)
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
		d.renew(ctx, id, r)
	}
}

func (d *dispatcher) renew(ctx context.Context, id string, r dispatch.Renewal) {
	wait := renewIdle
	switch {
	case r.LeaseUntil == 0:
		wait = 0
	case r.WarmingUp:
		wait = renewRising
	case r.Busy:
		wait = renewWait
	}
	sent := boottime.Now()
	report, result := d.servers.Renew(ctx, r.Server, platform.Renewal{LeaseUntil: r.LeaseUntil, Fence: d.place.Epoch, Taken: r.AckCursor, Wait: wait})
	d.update(func(c *dispatch.Core) {
		switch result {
		case platform.Renewed:
			c.ReportReceived(id, sent, report)
		case platform.RenewalWrongInstance:
			c.ServerReplaced(id)
		case platform.RenewalUnanswered, platform.RenewalFenced:
			c.RenewalUnanswered(id, sent, wait+platform.RenewalTimeout+relay.OrderTimeout)
		}
	})
	d.wakeUp()
	if result == platform.Renewed {
		sleep(ctx, renewPause)
		return
	}
	if result == platform.RenewalFenced {
		d.deposed(id)
	}
	sleep(ctx, renewRetry)
}

// deposed stops this dispatcher because a server has seen the token of its successor.
func (d *dispatcher) deposed(server string) {
	if d.fenced.CompareAndSwap(false, true) {
		events.Log(d.log, events.OrderFenced, server, d.place.Epoch)
	}
	d.cancel()
}

// followServers follows the platform's list of servers.
func (d *dispatcher) followServers(ctx context.Context) {
	d.askServers(ctx) // those that a former dispatcher may have given work to
	from := int64(-1)
	entries := newEntries(d.log)
	reads := link{name: "list of servers", log: d.log}
	for ctx.Err() == nil {
		records, next, err := d.readServers(ctx, from)
		reads.report(err)
		from = next
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		d.update(func(c *dispatch.Core) {
			entries.take(c, records)
			c.ServerListComplete()
		})
		d.askServers(ctx)
		d.wakeUp()
		sleep(ctx, serversPause)
	}
}

func (d *dispatcher) readServers(ctx context.Context, from int64) ([]platform.Record, int64, error) {
	if from < 0 {
		return d.store.LatestByKey(ctx, platform.TopicServers)
	}
	page, err := d.store.Read(ctx, platform.TopicServers, from, serversWait)
	if errors.Is(err, platform.ErrRecordsDeleted) {
		return nil, -1, err
	}
	if err != nil {
		return nil, from, err
	}
	return page.Records, page.Next, nil
}

// countEvents moves what the core has counted into the metrics. Answers to orders may still come while a dispatcher ends.
func (d *dispatcher) countEvents() map[string]int {
	d.mu.Lock()
	counts := d.core.TakeEventCounts()
	d.mu.Unlock()
	d.node.metrics.add(counts)
	return counts
}

// reportState logs how many jobs stand where, and what was counted since the last time.
func (d *dispatcher) reportState(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, stateEvery)
		d.forgetOld()
		var n dispatch.Counts
		d.update(func(c *dispatch.Core) { n = c.Counts() })
		counts := d.countEvents()
		events.Log(d.log, events.DispatchState, n.LongRunning, n.Started, n.OnTime, n.OverShare, n.Late, n.Runs, n.Servers, counts)
	}
}
