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

// Delays of the model, from the design page.
const (
	heartbeat  = 250 * time.Millisecond
	peerGone   = time.Second            // silence after which a peer is dropped
	blockedFor = 20 * time.Millisecond  // pause of a VM that found no server for its first request
	failFast   = 5 * time.Millisecond   // time in which a bad server fails a task
	checkpoint = 300 * time.Millisecond // time in which a task is checkpointed
)

// team is one source of requests.
type team struct {
	name     string
	share    int
	class    fleet.Class
	run      time.Duration                   // mean run time, exponentially distributed
	declared time.Duration                   // run time as the team declares it; 0: unknown
	deadline time.Duration                   // time from arrival; 0: none
	peak     float64                         // highest rate, requests a second
	rate     func(now time.Duration) float64 // part of peak, 0 to 1
	entry    int                             // all its requests come to this entry VM; 0: to all
	maxWait  int                             // waiting requests on one VM beyond which more are dropped; 0: no bound
}

// scenario is one run of the model: one pool, its entry VMs in three data centres, its teams.
type scenario struct {
	vms, servers, bad             int
	teams                         []team
	warm, end                     time.Duration // slot-time is measured from warm to end
	choose                        func(servers []routing.Server, centre string, exclude map[string]bool, rnd *rand.Rand) (int, bool)
	localView                     bool // servers are judged by the VM's own tasks only, without full marks
	fifo, alone                   bool // baselines: first come first served; shares kept by each VM alone
	momentary, noAllot, noEntitle bool // running counts only, no decayed use; no allotment
	admit, preempt                bool
	reserve                       int // percent
	poison                        float64
	replace                       []time.Duration // times at which an entry VM is replaced
	noHealth                      bool
	hold, probe                   time.Duration
	budget                        int // retry budget in percent
}

type request struct {
	item     fairshare.Item
	team     *team
	arrived  time.Duration
	run      time.Duration
	attempts int // that failed
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
	name, centre string
	dead         bool
	queue        *fairshare.Queue
	waiting      map[uint64]*request
	running      map[uint64]*request
	local        []int
	byTeam       map[string]int
	peers        map[string]status
	usage        *fairshare.Usage
	allotment    int
	full         *routing.FullMarks
	health       *routing.Health
	times        *routing.RunTimes
	budget       *routing.RetryBudget
	blocked      time.Duration
	waking       bool
	prober       *routing.Prober
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
	queue  []event    // by time, then by order of entry
	rnd    *rand.Rand // choices and delays
	load   *rand.Rand // arrivals, so that every policy meets the same requests
	fleet  []*entryVM
	pool   []string
	busy   []int
	shares map[string]int
	// Measurements.
	requests, started, done, late, refused, dropped int
	refusals, retries, failed, checkpoints          int
	delays                                          map[fleet.Class][]time.Duration
	held, used, ideal                               map[string]float64 // running tasks; slot-seconds
	ejections                                       int                // largest number of servers that one VM left out
	watch                                           func(now time.Duration)
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
		m.arrivals(&m.teams[i])
	}
	for _, t := range s.replace {
		m.at(t, m.replaceVM)
	}
	return m
}

// run runs the scenario and samples slot-time every 50 ms.
func (m *model) run() *model {
	const sample = 50 * time.Millisecond
	var tick func()
	tick = func() {
		if m.watch != nil {
			m.watch(m.now)
		}
		if m.now >= m.warm {
			m.sample(sample.Seconds())
		}
		m.at(sample, tick)
	}
	m.at(sample, tick)
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

// distance returns the mean and the largest relative distance of the teams' slot-time from their shares.
func (m *model) distance() (mean, largest float64) {
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

func (m *model) inUse() float64 {
	sum := 0
	for _, n := range m.busy {
		sum += n
	}
	return float64(sum)
}

func (m *model) at(d time.Duration, do func()) {
	e := event{m.now + d, do}
	i := sort.Search(len(m.queue), func(i int) bool { return m.queue[i].at > e.at })
	m.queue = slices.Insert(m.queue, i, e)
}

func (m *model) between(a, b time.Duration) time.Duration {
	return a + time.Duration(m.rnd.Int64N(int64(b-a)+1))
}

func (m *model) hop() time.Duration { return m.between(500*time.Microsecond, 1500*time.Microsecond) }
func (m *model) clock() time.Time   { return time.Unix(0, 0).Add(m.now) }

func (m *model) arrivals(t *team) {
	m.at(time.Duration(m.load.ExpFloat64()/t.peak*float64(time.Second)), func() {
		m.arrivals(t)
		if m.load.Float64() < t.rate(m.now) {
			run := time.Duration(m.load.ExpFloat64() * float64(t.run))
			m.arrive(&request{team: t, arrived: m.now, run: max(run, time.Millisecond), poison: m.load.Float64() < m.poison})
		}
	})
}

func (m *model) addVM() {
	n := m.nextID
	m.nextID++
	v := &entryVM{
		name: fmt.Sprintf("entry-%02d", n), centre: fmt.Sprint("dc-", n%3), queue: fairshare.NewQueue(),
		waiting: map[uint64]*request{}, running: map[uint64]*request{}, local: make([]int, m.servers), byTeam: map[string]int{},
		peers: map[string]status{}, usage: fairshare.NewUsage(fairshare.UsageDecay), allotment: fairshare.UnlimitedAllotment,
		full: routing.NewFullMarks(m.hold), prober: routing.NewProber(m.probe, heartbeat), health: routing.NewHealth(routing.DefaultHealthOptions()),
		times: routing.NewRunTimes(), budget: routing.NewRetryBudget(m.budget, 10),
	}
	m.fleet = append(m.fleet, v)
	m.at(m.between(0, heartbeat), func() { m.beat(v) })
}

// replaceVM stops the oldest entry VM at once and starts a new one. Callers whose requests waited there ask another VM.
func (m *model) replaceVM() {
	old := m.fleet[0]
	old.dead = true
	m.fleet = m.fleet[1:]
	m.addVM()
	for _, id := range slices.Sorted(maps.Keys(old.waiting)) {
		m.arrive(old.waiting[id])
	}
	m.at(peerGone, func() {
		for _, v := range m.fleet {
			delete(v.peers, old.name)
			v.usage.RemoveSource(old.name, m.clock())
		}
	})
}

func (m *model) beat(v *entryVM) {
	if v.dead {
		return
	}
	st := status{outstanding: slices.Clone(v.local), demand: m.demand(v)}
	st.overdue, st.overnight = m.pressure(v)
	for _, p := range m.fleet {
		if p != v {
			m.at(m.between(time.Millisecond, 3*time.Millisecond), func() { m.hear(p, v.name, st) })
		}
	}
	m.preemptOn(v)
	m.dispatch(v)
	m.at(heartbeat, func() { m.beat(v) })
}

func (m *model) hear(v *entryVM, from string, st status) {
	v.peers[from] = st
	v.usage.SetRunning(from, st.demand.Running, m.clock())
	var peers []fairshare.Demand
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		peers = append(peers, v.peers[name].demand)
	}
	if !m.noEntitle {
		demand := fairshare.TotalDemand(append(peers, m.demand(v))...)
		v.usage.SetEntitlements(fairshare.Divide(m.servers*slotsPerServer, m.shares, demand), m.clock())
	}
	if !m.noAllot {
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

func (m *model) pressure(v *entryVM) (overdue, overnight int) {
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
	b := admission.Backlog{Free: free(m.view(v)), Ahead: len(v.waiting), Slots: m.servers * slotsPerServer}
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
	return admission.Check(admission.Options{MaxBody: 1, MaxWaiting: 1 << 30, MaxWaitingBytes: 1}, load, 0, r.team.deadline) == nil
}
