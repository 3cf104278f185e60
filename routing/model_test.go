package routing_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"example.org/comfreyrouter/admission"
	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/routing"
)

// Delays of the simulated fleet, as in its design.
const (
	heartbeat      = 250 * time.Millisecond
	peerTimeout    = time.Second            // time without a heartbeat after which a peer is dropped
	noServerPause  = 20 * time.Millisecond  // pause of a VM's dispatch after it found no server for the next request
	failureTime    = 5 * time.Millisecond   // time after which a task fails on a bad server
	checkpointTime = 300 * time.Millisecond // time that a checkpoint takes
)

// team is a source of requests with one class and one mean run time.
type team struct {
	name     string
	share    int
	class    fleet.Class
	run      time.Duration                   // mean run time, exponentially distributed
	declared time.Duration                   // run time that the team declares; 0: unknown
	deadline time.Duration                   // time from arrival; 0: none
	peakRate float64                         // highest rate in requests per second
	rate     func(now time.Duration) float64 // current rate as a fraction of peakRate, 0 to 1
	entry    int                             // entry VM that gets all requests of the team; 0: all VMs
	maxWait  int                             // waiting requests on one VM at which further ones are dropped; 0: no bound
}

// scenario configures one run of the model: a pool of servers, entry VMs in three data centres, and teams.
type scenario struct {
	vms, servers, badServers             int
	teams                                []team
	warm, end                            time.Duration // slot-time is sampled from warm to end
	choose                               func(servers []routing.Server, dataCentre string, exclude map[string]bool, rnd *rand.Rand) (int, bool)
	localView                            bool // a VM counts only its own tasks, and has no full marks
	fifo, perVMShares                    bool // baselines: one FIFO queue per VM; shares by each VM's own tasks only
	noDecay, noAllotment, noEntitlements bool // running tasks instead of Usage; no Allot; no SetEntitlements
	admit, preempt                       bool
	reserve                              int // reserved slots in percent
	poisonFraction                       float64
	replace                              []time.Duration // times at which the oldest entry VM is replaced
	noHealth                             bool
	fullMark, probeInterval              time.Duration
	budget                               int // retry budget in percent
}

type request struct {
	item     fairshare.Item
	team     *team
	arrived  time.Duration
	run      time.Duration
	attempts int // failed attempts
	starts   int
	poison   bool
	exclude  map[string]bool
	failedOn string
	server   int
	startAt  time.Duration
	onServer bool
	probe    bool
	stopping bool // told to checkpoint
}

type status struct {
	outstanding        []int
	demand             fairshare.Demand
	overdue, overnight int
}

type entryVM struct {
	name, dataCentre string
	dead             bool
	queue            *fairshare.Queue
	waiting          map[uint64]*request
	running          map[uint64]*request
	local            []int
	byTeam           map[string]int
	peers            map[string]status
	usage            *fairshare.Usage
	allotment        int
	full             *routing.FullMarks
	health           *routing.Health
	times            *routing.RunTimes
	budget           *routing.RetryBudget
	pausedUntil      time.Duration
	probeScheduled   bool
	prober           *routing.Prober
}

type event struct {
	at time.Duration
	do func()
}

const slotsPerServer = 8

type model struct {
	scenario
	now    time.Duration
	nextID uint64
	queue  []event    // by time, then in the order of insertion
	rnd    *rand.Rand // choices and delays
	load   *rand.Rand // arrivals; separate, so that every policy gets the same requests
	fleet  []*entryVM
	pool   []string
	busy   []int
	shares map[string]int
	// Results.
	requests, started, done, late, refused, dropped int
	refusals, retries, failed, checkpoints          int
	delays                                          map[fleet.Class][]time.Duration
	held, used, ideal                               map[string]float64 // running tasks; slot-seconds
	ejections                                       int                // largest number of servers that one VM had ejected at the same time
	onSample                                        func(now time.Duration)
}

func newModel(s scenario, seed uint64) *model {
	m := &model{
		scenario: s, rnd: rand.New(rand.NewPCG(seed, 7)), load: rand.New(rand.NewPCG(seed, 8)), busy: make([]int, s.servers), shares: map[string]int{},
		delays: map[fleet.Class][]time.Duration{}, held: map[string]float64{}, used: map[string]float64{}, ideal: map[string]float64{},
	}
	for i := range s.servers {
		m.pool = append(m.pool, fmt.Sprintf("server-%02d", i))
	}
	for range s.vms {
		m.addVM()
	}
	for i := range s.teams {
		m.shares[s.teams[i].name] = s.teams[i].share
		m.generateArrivals(&m.teams[i])
	}
	for _, t := range s.replace {
		m.after(t, m.replaceVM)
	}
	return m
}

// run simulates the scenario and samples slot-time every 50 ms.
func (m *model) run() *model {
	const sample = 50 * time.Millisecond
	var tick func()
	tick = func() {
		if m.onSample != nil {
			m.onSample(m.now)
		}
		if m.now >= m.warm {
			m.sample(sample.Seconds())
		}
		m.after(sample, tick)
	}
	m.after(sample, tick)
	for m.now < m.end {
		next := m.queue[0]
		m.queue = m.queue[1:]
		m.now = next.at
		next.do()
	}
	return m
}

func (m *model) sample(seconds float64) {
	demand := map[string]int{}
	for name, n := range m.held {
		demand[name] += int(n)
		m.used[name] += n * seconds
	}
	for _, v := range m.fleet {
		for _, r := range v.waiting {
			demand[r.team.name]++
		}
	}
	for name, slots := range fairshare.Divide(m.servers*slotsPerServer, m.shares, demand) {
		m.ideal[name] += slots * seconds
	}
}

// shareDeviation returns the mean and the largest relative deviation of the teams' slot-time from their shares.
func (m *model) shareDeviation() (mean, largest float64) {
	for name, ideal := range m.ideal {
		if ideal == 0 {
			continue
		}
		d := max(m.used[name]-ideal, ideal-m.used[name]) / ideal
		mean += d / float64(len(m.ideal))
		largest = max(largest, d)
	}
	return mean, largest
}

func (m *model) busySlots() float64 {
	sum := 0
	for _, n := range m.busy {
		sum += n
	}
	return float64(sum)
}

// after schedules do for d from now.
func (m *model) after(d time.Duration, do func()) {
	e := event{m.now + d, do}
	i := sort.Search(len(m.queue), func(i int) bool { return m.queue[i].at > e.at })
	m.queue = slices.Insert(m.queue, i, e)
}

func (m *model) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(m.rnd.Int64N(int64(b-a)+1))
}

func (m *model) networkDelay() time.Duration {
	return m.randomDuration(500*time.Microsecond, 1500*time.Microsecond)
}
func (m *model) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

func (m *model) generateArrivals(t *team) {
	m.after(time.Duration(m.load.ExpFloat64()/t.peakRate*float64(time.Second)), func() {
		m.generateArrivals(t)
		if m.load.Float64() < t.rate(m.now) {
			run := time.Duration(m.load.ExpFloat64() * float64(t.run))
			m.arrive(&request{team: t, arrived: m.now, run: max(run, time.Millisecond), poison: m.load.Float64() < m.poisonFraction})
		}
	})
}

func (m *model) addVM() {
	n := m.nextID
	m.nextID++
	v := &entryVM{
		name: fmt.Sprintf("entry-%02d", n), dataCentre: fmt.Sprint("dc-", n%3), queue: fairshare.NewQueue(),
		waiting: map[uint64]*request{}, running: map[uint64]*request{}, local: make([]int, m.servers), byTeam: map[string]int{},
		peers: map[string]status{}, usage: fairshare.NewUsage(fairshare.UsageDecay), allotment: fairshare.UnlimitedAllotment,
		full: routing.NewFullMarks(m.fullMark), prober: routing.NewProber(m.probeInterval, heartbeat), health: routing.NewHealth(routing.DefaultHealthOptions()),
		times: routing.NewRunTimes(), budget: routing.NewRetryBudget(m.budget, 10),
	}
	m.fleet = append(m.fleet, v)
	m.after(m.randomDuration(0, heartbeat), func() { m.sendHeartbeat(v) })
}

// replaceVM stops the oldest entry VM abruptly and starts a new one. The requests that waited there arrive again on other VMs.
func (m *model) replaceVM() {
	old := m.fleet[0]
	old.dead = true
	m.fleet = m.fleet[1:]
	m.addVM()
	for _, id := range slices.Sorted(maps.Keys(old.waiting)) {
		m.arrive(old.waiting[id])
	}
	m.after(peerTimeout, func() {
		for _, v := range m.fleet {
			delete(v.peers, old.name)
			v.usage.RemoveSource(old.name, m.clock())
		}
	})
}

func (m *model) sendHeartbeat(v *entryVM) {
	if v.dead {
		return
	}
	st := status{outstanding: slices.Clone(v.local), demand: m.demand(v)}
	st.overdue, st.overnight = m.overdueAndOvernight(v)
	for _, p := range m.fleet {
		if p != v {
			m.after(m.randomDuration(time.Millisecond, 3*time.Millisecond), func() { m.receiveHeartbeat(p, v.name, st) })
		}
	}
	m.preemptTasks(v)
	m.dispatch(v)
	m.after(heartbeat, func() { m.sendHeartbeat(v) })
}

func (m *model) receiveHeartbeat(v *entryVM, from string, st status) {
	v.peers[from] = st
	v.usage.SetRunning(from, st.demand.Running, m.clock())
	var peers []fairshare.Demand
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		peers = append(peers, v.peers[name].demand)
	}
	if !m.noEntitlements {
		demand := fairshare.TotalDemand(append(peers, m.demand(v))...)
		v.usage.SetEntitlements(fairshare.Divide(m.servers*slotsPerServer, m.shares, demand), m.clock())
	}
	if !m.noAllotment {
		v.allotment = fairshare.Allot(m.servers*slotsPerServer, m.shares, m.demand(v), peers)
	}
	m.dispatch(v)
}

func (m *model) demand(v *entryVM) fairshare.Demand {
	waiting := map[string]int{}
	for _, r := range v.waiting {
		waiting[r.team.name]++
	}
	return fairshare.Demand{Running: maps.Clone(v.byTeam), Waiting: waiting}
}

// overdueAndOvernight returns the urgent requests of a VM that have waited for PreemptAfter, and the overnight tasks that it runs.
func (m *model) overdueAndOvernight(v *entryVM) (overdue, overnight int) {
	for _, r := range v.waiting {
		if r.team.class == fleet.Urgent && m.now-r.arrived >= fairshare.PreemptAfter {
			overdue++
		}
	}
	for _, r := range v.running {
		if r.team.class == fleet.Overnight {
			overnight++
		}
	}
	return overdue, overnight
}

func (m *model) arrive(r *request) {
	v := m.fleet[m.load.IntN(len(m.fleet))]
	if r.team.entry > 0 {
		v = m.fleet[r.team.entry%len(m.fleet)]
	}
	m.requests++
	v.budget.OnRequest()
	m.nextID++
	name := r.team.name
	if m.fifo {
		name = "all"
	}
	r.item = fairshare.Item{ID: m.nextID, Team: name, Class: r.team.class, Enqueued: m.clock()}
	if m.admit && !m.admitted(v, r) {
		m.refused++
		return
	}
	if r.team.maxWait > 0 && v.queue.Waiting(name) >= r.team.maxWait {
		m.dropped++
		return
	}
	v.waiting[r.item.ID] = r
	v.queue.Push(r.item)
	m.dispatch(v)
}

func (m *model) admitted(v *entryVM, r *request) bool {
	b := admission.Backlog{Free: freeSlots(m.view(v)), Ahead: len(v.waiting), Slots: m.servers * slotsPerServer}
	for _, p := range v.peers {
		for _, n := range p.demand.Waiting {
			b.Ahead += n
		}
	}
	b.RunTime = v.times.Mean("queue", r.team.name, r.team.declared)
	load := admission.Load{StartDelay: admission.StartDelay(b), RunTime: v.times.Shortest("queue", r.team.name, r.team.declared)}
	if load.StartDelay > 0 {
		load.RunTime = v.times.Estimate("queue", r.team.name, r.team.declared)
	}
	load.DeclaredOnly = !v.times.Learned("queue", r.team.name, time.Unix(0, 0).Add(m.now))
	if load.RunTime > r.team.deadline {
		v.times.NoteRefusal("queue", r.team.name)
	}
	return admission.Check(admission.Options{MaxBodyBytes: 1, MaxWaiting: 1 << 30, MaxWaitingBytes: 1}, load, 0, r.team.deadline) == nil
}
