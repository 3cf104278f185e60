package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

// tick is the step of the simulated time.
const tick = 20 * time.Millisecond

// fakeRun is a run on a simulated server.
type fakeRun struct {
	attempt int64
	endsAt  time.Duration
	how     jobs.EndKind
	percent int
	// checkpoint is the one that it was started with, or a newer one that a test has set.
	checkpoint string
}

// fakeServer is a simulated backend server. It follows the platform's documentation.
type fakeServer struct {
	info        jobs.Server
	up          bool
	cutOff      bool    // no messages reach it or come back
	rate        float64 // of its clock, relative to the simulated time
	bornAt      time.Duration
	lease       int64
	fence       int64
	runs        map[string]*fakeRun
	lastAttempt map[string]int64 // highest attempt that was stopped or has ended, by task
	ended       []jobs.End
	number      int64
	endedAt     map[int64]time.Duration // by the number of the end
	reported    int64                   // number of the newest end that was reported
	failing     bool
	refusing    bool // it refuses all starts
	stalled     bool // its tasks make no progress
	behindCut   bool // the cut-off predecessor reaches it
	// listedFrom is when the present incarnation writes its first entry into the server list.
	listedFrom time.Duration
	borns      map[int64]bool // starts of its incarnations, by its time of day
}

func (s *fakeServer) clock(now time.Duration) int64 {
	return int64(float64((now - s.bornAt).Milliseconds()) * s.rate)
}

// extend extends the lease of all runs up to a time on the server's clock, for testMaxLease at most.
func (s *fakeServer) extend(now time.Duration, until int64) {
	s.lease = max(s.lease, min(until, s.clock(now)+testMaxLease.Milliseconds()))
}

func (s *fakeServer) used(spec map[string]jobs.Step) jobs.Resources {
	var r jobs.Resources
	for task := range s.runs {
		r = r.Add(spec[task].Allocation())
	}
	return r
}

func (s *fakeServer) end(now time.Duration, task string, how jobs.EndKind) {
	s.number++
	s.endedAt[s.number] = now
	s.lastAttempt[task] = max(s.lastAttempt[task], s.runs[task].attempt)
	end := jobs.End{Number: s.number, Task: task, Attempt: s.runs[task].attempt, How: how}
	if how != jobs.EndDone {
		end.Checkpoint = s.runs[task].checkpoint
	}
	s.ended = append(s.ended, end)
	delete(s.runs, task)
}

// longTaskMS is the estimate from which on a task runs as long as estimated. Others run for about a second.
const longTaskMS = 2000

// listEntry is a server's entry in the platform's server list.
type listEntry struct {
	info      jobs.Server
	writtenAt time.Duration
}

// entryTTL is how long the entry of a silent server stays in the list: three heartbeat intervals.
const entryTTL = 4500 * time.Millisecond

// simulation is a fleet with one dispatcher at a time. It checks every start against the users' rules.
type simulation struct {
	rng     *rand.Rand
	now     time.Duration
	servers map[string]*fakeServer
	entries map[string]listEntry // the platform's server list
	ledger  *ledger.Ledger
	offset  int64
	core    *Core
	epoch   int64
	// predecessor is the dispatcher that a cut has separated from the store and from its successor. It gives orders until predecessorUntil.
	predecessor      *Core
	predecessorUntil time.Duration
	config           *jobs.Configuration
	steps            map[string]jobs.Step // by task
	specs            map[string]jobs.Submission
	done             map[string]bool // tasks and runs whose end was acknowledged
	failedRuns       map[string]int
	listedDone       map[string]bool // tasks of which a successful run was reported
	serverSeenAt     map[string]time.Duration
	unstored         []Batch
	storeDown        bool          // nothing can be stored
	storeDelay       time.Duration // after which the dispatcher learns that it was the only one
	maxListedEnds    int           // ends that a server reports at a time
	lateCalls        []*lateCall
	outliveRestarts  bool                             // late calls are carried out by the next incarnation of a server too
	lossRate         float64                          // share of orders that stay unanswered
	losesStarts      bool                             // all starts stay unanswered
	longPolls        map[string]*longPoll             // outstanding renewals by server, if renewals wait for ends and may be lost; otherwise nil
	endDelays        []time.Duration                  // from the end of each run to its report
	onStart          func(s *fakeServer, task string) // if set, called for each start that a server carries out
	onStop           func(s *fakeServer, task string) // if set, called for each run that a stop ends, before its end
	heldUp           bool                             // the order that is carried out is late
	violations       []string
	starts           int
	begun            map[string]bool // jobs of which a task has started
	clocksSetBack    bool            // the time of day of a server may go back before it restarts
}

const (
	testLease    = 4 * time.Second
	testMaxLease = 10 * time.Second
	testSilence  = time.Second
)

func newSimulation(seed uint64, servers int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Minute, servers: map[string]*fakeServer{}, entries: map[string]listEntry{}, ledger: ledger.New(),
		config: &jobs.Configuration{
			Version: 1, Routes: []jobs.Route{{Name: "q", Service: "pool"}}, Services: map[string]jobs.Service{"pool": {Name: "pool"}},
			Workspaces: []jobs.Workspace{{Name: "w", Limit: jobs.Resources{CPU: 6000}}},
		},
		steps: map[string]jobs.Step{}, specs: map[string]jobs.Submission{}, done: map[string]bool{}, failedRuns: map[string]int{}, listedDone: map[string]bool{}, begun: map[string]bool{},
		maxListedEnds: 500, outliveRestarts: true, serverSeenAt: map[string]time.Duration{},
	}
	for i := range servers {
		sim.addServer(fmt.Sprintf("s%d", i), jobs.Resources{CPU: 4000, MemoryMB: 4000})
	}
	sim.takeOver()
	return sim
}

func (sim *simulation) addServer(id string, capacity jobs.Resources) *fakeServer {
	s := &fakeServer{
		info: jobs.Server{ID: id, Service: "pool", Address: id, Machine: "m-" + id, Ready: true, Capacity: capacity, BornMS: sim.now.Milliseconds()},
		up:   true, rate: 1 - 0.02*sim.rng.Float64(), bornAt: sim.now - time.Second, runs: map[string]*fakeRun{}, lastAttempt: map[string]int64{}, endedAt: map[int64]time.Duration{},
	}
	s.borns = map[int64]bool{s.info.BornMS: true}
	sim.servers[id] = s
	return s
}

// takeOver replaces the dispatcher, which loses everything that it had not stored.
func (sim *simulation) takeOver() {
	sim.unstored = nil
	for _, id := range sortedKeys(sim.longPolls) { // nobody reads their answers
		sim.delay(Order{Server: sim.longPolls[id].renewal.Server}, sim.longPolls[id].renewal)
	}
	clear(sim.longPolls)
	sim.epoch = sim.ledger.Dispatcher.Epoch + 1
	sim.apply([]ledger.Record{ledger.DispatcherRecord(ledger.Dispatcher{Epoch: sim.epoch, Incarnation: fmt.Sprint(sim.epoch)})})
	sim.core = New(Params{Epoch: sim.epoch, Lease: testLease, MaxLease: testMaxLease, PredecessorsUntil: sim.now + testSilence, ServerSeenAt: maps.Clone(sim.serverSeenAt)}, sim.ledger, sim.config, sim.now, sim.wall())
}

func (sim *simulation) wall() int64 { return sim.now.Milliseconds() }

func (sim *simulation) apply(records []ledger.Record) {
	for _, r := range records {
		change, id, err := sim.ledger.Apply(r, sim.offset)
		sim.offset++
		if err != nil {
			sim.violation("ledger: %v", err)
		}
		if change == ledger.ServerChanged {
			sim.serverSeenAt[id] = sim.now
		}
		if change == ledger.JobAdded && sim.core != nil {
			sim.core.AddJob(sim.ledger.Jobs[id])
		}
		if change == ledger.JobCancelled && sim.core != nil {
			sim.core.Cancel(id)
		}
	}
}

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("at %v: ", sim.now)+fmt.Sprintf(format, args...))
}

// run advances the simulated time.
func (sim *simulation) run(d time.Duration) {
	for until := sim.now + d; sim.now < until; {
		sim.step()
	}
}

func (sim *simulation) step() {
	sim.now += tick
	for _, id := range sim.serverIDs() {
		sim.advanceTasks(sim.servers[id])
	}
	sim.carryOutLateCalls()
	sim.stepPredecessor()
	sim.core.Advance(sim.now, sim.wall(), sim.storeDelay == 0)
	sim.core.WasSole(sim.now - sim.storeDelay)
	sim.listServers()
	for _, id := range slices.Sorted(slices.Values(sim.core.Servers())) {
		if sim.longPolls != nil {
			sim.poll(id)
			continue
		}
		sim.renew(id)
	}
	sim.core.Schedule()
	sim.send(sim.core)
	sim.store()
}

func (sim *simulation) serverIDs() []string {
	ids := make([]string, 0, len(sim.servers))
	for id := range sim.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// advanceTasks advances the tasks of a server by one tick.
func (sim *simulation) advanceTasks(s *fakeServer) {
	if !s.up {
		return
	}
	for _, task := range sortedKeys(s.runs) {
		r := s.runs[task]
		switch {
		case s.clock(sim.now) >= s.lease:
			s.end(sim.now, task, jobs.EndLeaseExpired)
		case s.stalled:
			r.endsAt += tick
		case sim.now >= r.endsAt:
			s.end(sim.now, task, r.how)
		default:
			r.percent = min(r.percent+2, 100)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// renew sends one renewal, if the server can be reached.
func (sim *simulation) renew(id string) {
	r, ok := sim.core.NextRenewal(id)
	if !ok {
		return
	}
	s := sim.servers[id]
	if s == nil || !s.up || s.cutOff {
		sim.core.RenewalUnanswered(id, sim.now-tick, tick)
		return
	}
	if s.info.BornMS != r.Server.BornMS {
		sim.core.RenewalAnswered(r)
		sim.core.ServerRestarted(r.Server, s.info.BornMS)
		return
	}
	sim.answerRenewal(sim.core, s, r)
}

// longPoll is a renewal whose answer waits for the end of a run.
type longPoll struct {
	renewal Renewal
	sentAt  time.Duration
	lost    bool
}

// poll sends a renewal if none is outstanding, and ends an outstanding one that a server answers or that has timed out.
func (sim *simulation) poll(id string) {
	p := sim.longPolls[id]
	if p == nil {
		r, ok := sim.core.NextRenewal(id)
		if !ok {
			return
		}
		if s := sim.servers[id]; s != nil && s.up && !s.cutOff && s.info.BornMS != r.Server.BornMS {
			sim.core.RenewalAnswered(r)
			sim.core.ServerRestarted(r.Server, s.info.BornMS)
			return
		}
		p = &longPoll{r, sim.now, sim.rng.Float64() < sim.lossRate}
		sim.longPolls[id] = p
	}
	s, waited := sim.servers[id], sim.now-p.sentAt
	switch {
	case p.lost || s == nil || !s.up || s.cutOff || s.info.BornMS != p.renewal.Server.BornMS:
		if timeout := p.renewal.Wait + platform.RenewalTimeout; waited >= timeout {
			delete(sim.longPolls, id)
			if p.lost || s != nil && !s.cutOff {
				sim.delay(Order{Server: p.renewal.Server}, p.renewal)
			}
			sim.core.RenewalUnanswered(id, p.sentAt, timeout)
		}
	case waited >= p.renewal.Wait || s.number > p.renewal.AckCursor:
		delete(sim.longPolls, id)
		sim.answerRenewal(sim.core, s, p.renewal)
	}
}

// answerRenewal carries out a renewal on a server and reports the server's runs and ends to the dispatcher.
func (sim *simulation) answerRenewal(c *Core, s *fakeServer, r Renewal) {
	if r.Fence < s.fence {
		c.RenewalAnswered(r)
		c.TokenRefused(s.info.ID, r.Fence)
		return
	}
	s.fence = r.Fence
	sim.executeRenewal(s, r)
	listed := min(len(s.ended), sim.maxListedEnds)
	report := jobs.Report{ClockMS: s.clock(sim.now), BornMS: s.info.BornMS, Ended: slices.Clone(s.ended[:listed]), MoreEnds: listed == sim.maxListedEnds}
	for _, e := range report.Ended {
		if e.Number > s.reported {
			s.reported = e.Number
			sim.endDelays = append(sim.endDelays, sim.now-s.endedAt[e.Number])
		}
		sim.listedDone[e.Task] = sim.listedDone[e.Task] || e.How == jobs.EndDone
	}
	for _, task := range sortedKeys(s.runs) {
		run := s.runs[task]
		report.Active = append(report.Active, jobs.RunState{Task: task, Attempt: run.attempt, Checkpoint: run.checkpoint, Percent: run.percent})
	}
	c.RenewalAnswered(r)
	c.ReportReceived(r, sim.now-tick/2, report)
}

// executeRenewal extends the leases of a server and acknowledges its ends.
func (sim *simulation) executeRenewal(s *fakeServer, r Renewal) {
	s.extend(sim.now, r.LeaseUntil)
	// An end counts from its acknowledgement on. By the users' rules it also counts 100 ms after it was reported, but not near a fault, and the
	// dispatcher stores within two ticks.
	s.ended = slices.DeleteFunc(s.ended, func(e jobs.End) bool {
		if e.Number <= r.AckCursor {
			sim.recordEnd(e)
		}
		return e.Number <= r.AckCursor
	})
}

func (sim *simulation) recordEnd(e jobs.End) {
	key := fmt.Sprintf("%s/%d", e.Task, e.Attempt)
	if e.How == jobs.EndDone {
		sim.done[e.Task] = true
	}
	if e.How == jobs.EndFailed && !sim.done[key] {
		sim.done[key] = true
		sim.failedRuns[e.Task]++
	}
}

// send executes the orders of a dispatcher, loses them, or delays them.
func (sim *simulation) send(c *Core) {
	for _, o := range c.TakeOrders() {
		if o.Stop != nil && !c.MaySendStop(o.Server.ID, o.Stop.Task, o.Stop.Attempt) {
			continue
		}
		s := sim.servers[o.Server.ID]
		reached := s != nil && s.up && (c == sim.core && !s.cutOff || c == sim.predecessor && s.behindCut)
		if reached && sim.rng.Float64() >= sim.lossRate && (o.Start == nil || !sim.losesStarts) {
			answer(c, o, sim.deliver(o))
			continue
		}
		if reached && s.info.BornMS == o.Server.BornMS {
			sim.delay(o, Renewal{})
		}
		answer(c, o, jobs.StartUnknown)
	}
}

func answer(c *Core, o Order, result jobs.StartResult) {
	if result == jobs.StartFenced {
		c.TokenRefused(o.Server.ID, o.fence())
	}
	switch {
	case o.Start != nil:
		c.StartAnswered(o.Server, o.Start.Task.String(), o.Start.Attempt, result)
	case o.Stop != nil:
		c.StopAnswered(o.Server, o.Stop.Task, o.Stop.Attempt, result == jobs.Started)
	}
}

// deliver sends an order to the incarnation of a server for which it is meant, as package platform does. The server itself can't tell its incarnations
// apart.
func (sim *simulation) deliver(o Order) jobs.StartResult {
	if s := sim.servers[o.Server.ID]; s.info.BornMS != o.Server.BornMS {
		return jobs.StartRestarted
	}
	return sim.execute(o)
}

// fence returns the fencing token of an order.
func (o Order) fence() int64 {
	switch {
	case o.Start != nil:
		return o.Start.Fence
	case o.Stop != nil:
		return o.Stop.Fence
	}
	return o.Pace.Fence
}

// execute handles an order as a server does.
func (sim *simulation) execute(o Order) jobs.StartResult {
	s := sim.servers[o.Server.ID]
	if s == nil || !s.up {
		return jobs.StartUnknown
	}
	if o.fence() < s.fence {
		return jobs.StartFenced
	}
	s.fence = o.fence()
	switch {
	case o.Start != nil:
		return sim.executeStart(s, *o.Start)
	case o.Stop != nil:
		sim.forgetStarts(s, *o.Stop)
		s.lastAttempt[o.Stop.Task] = max(s.lastAttempt[o.Stop.Task], o.Stop.Attempt)
		if r := s.runs[o.Stop.Task]; r != nil && r.attempt <= o.Stop.Attempt {
			if sim.onStop != nil {
				sim.onStop(s, o.Stop.Task)
			}
			s.end(sim.now, o.Stop.Task, jobs.EndStopped)
		}
	}
	return jobs.Started
}

func (sim *simulation) executeStart(s *fakeServer, o jobs.Order) jobs.StartResult {
	task := o.Task.String()
	switch {
	case s.refusing:
		return jobs.StartUnhealthy
	case s.lastAttempt[task] >= o.Attempt:
		s.extend(sim.now, o.LeaseUntil)
		return jobs.StartSuperseded
	case o.LeaseUntil <= s.clock(sim.now):
		return jobs.StartLeaseExpired
	case s.runs[task] != nil:
		return jobs.Started
	}
	s.extend(sim.now, o.LeaseUntil)
	sim.checkStart(s, o)
	sim.starts++
	sim.begun[o.Task.Job] = true
	r := &fakeRun{attempt: o.Attempt, endsAt: sim.now + time.Duration(300+sim.rng.IntN(900))*time.Millisecond, how: jobs.EndDone, checkpoint: o.Checkpoint}
	switch step := sim.steps[task]; {
	case step.LongRunning:
		r.endsAt = sim.now + time.Hour
	case step.EstimateMS > longTaskMS:
		r.endsAt = sim.now + time.Duration(step.EstimateMS)*time.Millisecond
	}
	if s.failing {
		r.how, r.endsAt = jobs.EndFailed, sim.now+50*time.Millisecond
	}
	s.runs[task] = r
	if sim.onStart != nil {
		sim.onStart(s, task)
	}
	return jobs.Started
}

// store stores the core's batches, possibly a few ticks later.
func (sim *simulation) store() {
	b := sim.core.TakeBatch()
	if !b.Empty() {
		sim.unstored = append(sim.unstored, b)
	}
	if len(sim.unstored) > 0 && !sim.storeDown && sim.rng.IntN(2) == 0 {
		for _, b := range sim.unstored {
			if b.Epoch > 0 {
				b.Records = append(b.Records, ledger.DispatcherRecord(ledger.Dispatcher{Epoch: b.Epoch, Incarnation: fmt.Sprint(sim.epoch)}))
			}
			sim.apply(b.Records)
			sim.core.BatchStored(b)
		}
		sim.unstored = nil
	}
}

// restart starts a new incarnation of a server under its id.
func (sim *simulation) restart(s *fakeServer) {
	s.up, s.cutOff, s.bornAt, s.lease, s.fence, s.number, s.reported = true, false, sim.now, 0, 0, 0, 0
	s.info.BornMS = sim.now.Milliseconds()
	if sim.clocksSetBack {
		s.setClockBack(time.Duration(sim.rng.Int64N(int64(maxClockStep))))
	}
	s.runs, s.lastAttempt, s.ended = map[string]*fakeRun{}, map[string]int64{}, nil
}

func (sim *simulation) phase(id string) jobs.Phase { return sim.ledger.Jobs[id].Phase() }
