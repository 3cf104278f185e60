// Package upkeep decides when machines have the upkeep that operators ask for in waves: in time, never more at once than a wave allows,
// and never so that a task that must be at work ends while others of its step are away. It has no clock and does no I/O.
package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// emptyWithin is how long a server gets no new work before its upkeep, so that short tasks can end: quotes run 1 to 2.5 s.
	emptyWithin = 2500 * time.Millisecond
	// backWithin is how long after its order a machine that isn't listed as up again counts as down, beyond the upkeep itself.
	backWithin = 500 * time.Millisecond
)

// Dispatcher is what the planner asks of the dispatcher.
type Dispatcher interface {
	// Load returns how many runs a server has, without those that must be at work at all times.
	Load(server string) int
	// LongRunning returns how many runs a server has that must be at work at all times.
	LongRunning(server string) int
	// MayEnd reports whether all runs of a server may end now without too many of a step being away.
	MayEnd(server string) bool
	// Ending notes that the upkeep of a server's machine is ordered, so that its tasks count as away.
	Ending(server string)
	// Evacuate begins to move tasks away of which too many of one step run on a server.
	Evacuate(server string)
}

// Action is what has to be done next with a machine. A cordoned server gets no new work.
type Action struct {
	Wave    int64
	Machine string
	Server  string
	Cordon  bool // otherwise the upkeep is ordered
}

// Shares of a pool's machines that may be emptied for a wave at the same time: one in emptyShare at first, and one in hurryShare once
// hurryAfter of the wave's time is over, since a wave that is late leaves machines without upkeep.
const (
	emptyShare = 8
	hurryShare = 3
	hurryAfter = 0.6
)

// flight is a machine whose upkeep has been begun.
type flight struct {
	cordonedAt time.Duration
	ordered    bool // otherwise it is being emptied
	orderedAt  time.Duration
	accepted   bool
	server     string // that ended with the order
}

// wave is the state of one wave.
type wave struct {
	asked   jobs.Wave
	seen    time.Duration // when it was first planned
	done    map[string]bool
	flights map[string]*flight
}

// Planner holds the state of all waves. What a successor doesn't know to be done it orders again: an order for a machine that has had
// its upkeep changes nothing.
type Planner struct {
	duration time.Duration // of one upkeep
	waves    map[int64]*wave
}

// New returns a planner for upkeep of a duration.
func New(duration time.Duration) *Planner {
	return &Planner{duration, map[int64]*wave{}}
}

// AddWaves takes the waves that operators have asked for, and for each what is stored of it.
func (p *Planner) AddWaves(waves []jobs.Wave, stored func(number int64) []string) {
	for _, asked := range waves {
		if p.waves[asked.Number] != nil {
			continue
		}
		w := &wave{asked: asked, done: map[string]bool{}, flights: map[string]*flight{}}
		for _, machine := range stored(asked.Number) {
			w.done[machine] = true
		}
		p.waves[asked.Number] = w
	}
}

// StartedMachines returns the machines of a wave that have begun their upkeep.
func (p *Planner) StartedMachines(number int64) []string {
	w := p.waves[number]
	if w == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(w.done))
}

// HasOpenWaves reports whether a wave has machines left.
func (p *Planner) HasOpenWaves() bool {
	for _, w := range p.waves {
		if !w.complete() {
			return true
		}
	}
	return false
}

func (w *wave) complete() bool { return len(w.done) >= len(w.asked.Machines) }

// CompletedWaves returns the waves whose machines have all begun their upkeep.
func (p *Planner) CompletedWaves() []int64 {
	var n []int64
	for number, w := range p.waves {
		if w.complete() {
			n = append(n, number)
		}
	}
	slices.Sort(n)
	return n
}

// Plan returns what to do now, given the machines as they are listed, with at most a number of orders. Each order counts against the budgets before
// the next one is decided.
func (p *Planner) Plan(now time.Duration, listed []jobs.Machine, fleet Dispatcher, most int) []Action {
	if !p.HasOpenWaves() && !p.flying() {
		return nil
	}
	machines := make(map[string]jobs.Machine, len(listed))
	for _, m := range listed {
		machines[m.ID] = m
	}
	var actions []Action
	for _, number := range p.numbers() {
		w := p.waves[number]
		if w.seen == 0 {
			w.seen = now
		}
		w.settle(now, machines, p.duration)
		waiting := w.waiting(machines, fleet)
		for {
			orders := w.order(now, machines, fleet, most)
			most -= len(orders)
			cordoned := w.cordon(now, machines, &waiting)
			actions = append(append(actions, orders...), cordoned...)
			if len(cordoned) == 0 || most <= 0 {
				break // what was cordoned now may be empty already
			}
		}
	}
	return actions
}

// flying reports whether a machine is emptied or down for a wave.
func (p *Planner) flying() bool {
	for _, w := range p.waves {
		if len(w.flights) > 0 {
			return true
		}
	}
	return false
}

func (p *Planner) numbers() []int64 {
	n := make([]int64, 0, len(p.waves))
	for number := range p.waves {
		n = append(n, number)
	}
	slices.Sort(n)
	return n
}

// settle ends the flights of machines that are back, and drops machines that have left the fleet.
func (w *wave) settle(now time.Duration, machines map[string]jobs.Machine, duration time.Duration) {
	for id, f := range w.flights {
		m, there := machines[id]
		switch {
		case !there:
			delete(w.flights, id)
		case f.accepted && now-f.orderedAt > duration && (m.Up && m.Server != f.server || now-f.orderedAt > duration+backWithin):
			delete(w.flights, id)
		}
	}
	if len(machines) == 0 {
		return
	}
	for _, id := range w.asked.Machines {
		if _, there := machines[id]; !there {
			w.done[id] = true
		}
	}
}

// down counts the machines that are or may be down for the wave.
func (w *wave) down(machines map[string]jobs.Machine) int {
	n := 0
	for _, id := range w.asked.Machines {
		f := w.flights[id]
		if f != nil && f.ordered || machines[id].Phase == jobs.MachineInUpkeep {
			n++
		}
	}
	return n
}

// order begins the upkeep of machines that are empty, or have been emptied for long enough.
func (w *wave) order(now time.Duration, machines map[string]jobs.Machine, fleet Dispatcher, most int) []Action {
	most = min(most, max(w.asked.MaxConcurrent, 1)-w.down(machines))
	var orders []Action
	for _, id := range w.emptied(machines, fleet) {
		if len(orders) >= most {
			break
		}
		f := w.flights[id]
		server := machines[id].Server
		fleet.Evacuate(server)
		if fleet.Load(server) > 0 && now-f.cordonedAt < emptyWithin || !fleet.MayEnd(server) {
			continue
		}
		f.ordered, f.orderedAt, f.server = true, now, server
		fleet.Ending(server)
		orders = append(orders, Action{Wave: w.asked.Number, Machine: id, Server: server})
	}
	return orders
}

// emptied returns the machines that are being emptied, those with long-running tasks first.
func (w *wave) emptied(machines map[string]jobs.Machine, fleet Dispatcher) []string {
	var ids []string
	lasting := map[string]int{}
	for id, f := range w.flights {
		if !f.ordered {
			ids = append(ids, id)
			lasting[id] = fleet.LongRunning(machines[id].Server)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(lasting[b], lasting[a]), cmp.Compare(a, b))
	})
	return ids
}

// emptying returns how many machines of each pool may be emptied in addition.
func (w *wave) emptying(now time.Duration, machines map[string]jobs.Machine) map[string]int {
	share := emptyShare
	if (now - w.seen).Seconds() > hurryAfter*w.asked.WithinS {
		share = hurryShare
	}
	size := map[string]int{}
	for _, m := range machines {
		size[m.Pool]++
	}
	for pool, n := range size {
		size[pool] = max(1, n/share)
	}
	for id, f := range w.flights {
		if !f.ordered {
			size[machines[id].Pool]--
		}
	}
	return size
}

// candidate is a machine whose upkeep hasn't been begun.
type candidate struct {
	jobs.Machine
	load, lasting int
}

// waiting returns the machines to empty next: the least busy first, and of these the ones with long-running tasks, since their budgets let only
// a few of them go at a time and the wave ends with the last of them.
func (w *wave) waiting(machines map[string]jobs.Machine, fleet Dispatcher) []candidate {
	var waiting []candidate
	for _, id := range w.asked.Machines {
		if m := machines[id]; m.Up && !w.done[id] && w.flights[id] == nil {
			waiting = append(waiting, candidate{m, fleet.Load(m.Server), fleet.LongRunning(m.Server)})
		}
	}
	slices.SortFunc(waiting, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(b.lasting, a.lasting), cmp.Compare(a.ID, b.ID))
	})
	return waiting
}

// cordon begins to empty machines, as many of each pool as may be emptied, and leaves those that still wait.
func (w *wave) cordon(now time.Duration, machines map[string]jobs.Machine, waiting *[]candidate) []Action {
	if len(*waiting) == 0 {
		return nil
	}
	left := w.emptying(now, machines)
	var actions []Action
	var rest []candidate
	defer func() { *waiting = rest }()
	for _, m := range *waiting {
		if left[m.Pool] <= 0 {
			rest = append(rest, m)
			continue
		}
		left[m.Pool]--
		w.flights[m.ID] = &flight{cordonedAt: now}
		actions = append(actions, Action{Wave: w.asked.Number, Machine: m.ID, Server: m.Server, Cordon: true})
	}
	return actions
}

// MarkAccepted notes that the platform has begun an upkeep, or had done it before.
func (p *Planner) MarkAccepted(wave int64, machine string) {
	if w := p.waves[wave]; w != nil {
		w.done[machine] = true
		if f := w.flights[machine]; f != nil {
			f.accepted = true
		}
	}
}

// MarkRefused notes that the platform has done nothing, so that the machine is tried again.
func (p *Planner) MarkRefused(wave int64, machine string) {
	if w := p.waves[wave]; w != nil {
		delete(w.flights, machine)
	}
}

// DueServers returns the servers whose machines have their upkeep before them.
func (p *Planner) DueServers(listed []jobs.Machine) map[string]bool {
	due := map[string]bool{}
	for _, w := range p.waves {
		if w.complete() {
			continue
		}
		asked := make(map[string]bool, len(w.asked.Machines))
		for _, id := range w.asked.Machines {
			asked[id] = !w.done[id]
		}
		for _, m := range listed {
			if asked[m.ID] {
				due[m.Server] = true
			}
		}
	}
	return due
}

// UnansweredOrders returns the machines whose order has no answer yet and has to be repeated.
func (p *Planner) UnansweredOrders(now, after time.Duration) []Action {
	var actions []Action
	for _, number := range p.numbers() {
		w := p.waves[number]
		for _, id := range w.asked.Machines {
			if f := w.flights[id]; f != nil && f.ordered && !f.accepted && now-f.orderedAt > after {
				actions = append(actions, Action{Wave: number, Machine: id, Server: f.server})
			}
		}
	}
	return actions
}

// InProgress reports whether a machine is emptied for its upkeep, or down for it.
func (p *Planner) InProgress(machine string) bool {
	for _, w := range p.waves {
		if w.flights[machine] != nil {
			return true
		}
	}
	return false
}
