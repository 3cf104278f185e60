// Package autoscale decides which machines move between pools. Demand shifts from queue to queue within seconds, a move takes about 1.5 s, and
// machines of the spare pool are powered off and cost nothing. Machines are therefore moved to a pool that needs more than it has, and back to the
// spare pool once they have been idle for a while. Only machines on which nothing runs are moved. The package reads no clock and does no I/O.
package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// parkAfter is how long a machine must be idle before it is parked, that is, moved to the spare pool. A move costs as much as about 1.1 s of a
	// machine in a pool.
	parkAfter = 1200 * time.Millisecond
	// maxParked is the maximum number of machines that are parked in one round, and maxParkedWhileShort the maximum while a pool has too few
	// machines. The platform accepts a limited rate of orders, and moves to a pool that is short have priority over parking.
	maxParked           = 12
	maxParkedWhileShort = 2
	// headroom is the ratio of a pool's machines to what its tasks need, because tasks don't fill machines exactly.
	headroom = 1.12
	// MoveLatency is the time from a move until the first task can start on the machine: 1.5 s for the move itself, then the time until its server
	// is registered, has sent its first report, and is recorded as eligible for work.
	MoveLatency = 2300 * time.Millisecond
	// moveInterval is the time that each machine adds when many move together: the platform accepts 64 orders a second.
	moveInterval = 18 * time.Millisecond
	// moveTimeout is how long a machine that is being moved counts as part of its new pool before it must be up there.
	moveTimeout = 4 * time.Second
)

// Pool describes a pool and the demand for it.
type Pool struct {
	Name  string
	Spare bool
	// Need is the total need of the tasks that are running, waiting or about to arrive.
	Need jobs.Resources
	// PeakNeeds are the needs expected for the pool's next demand peak, which begins in PeakIn, each for PeakStep after the one before. They include
	// the need of long-running tasks but of no other present task. There are none if no peak is expected.
	PeakNeeds []jobs.Resources
	PeakIn    time.Duration
	PeakStep  time.Duration
	// MinMachines is the minimum number of machines, for tasks that must run on separate machines.
	MinMachines int
}

// Machine holds the properties of a machine that decide whether it is moved.
type Machine struct {
	ID, Pool    string
	Up          bool
	Capacity    jobs.Resources
	Empty       bool          // nothing runs on it
	IdleFor     time.Duration // how long nothing has run on it
	Locked      bool          // must not be moved: it is in upkeep or about to be, or an order for it may not have taken effect yet
	Tasks       int           // running tasks that end by themselves
	LongRunning bool          // a long-running task runs on it
	// DataCentre is the machine's location. Unreachable says that its server doesn't answer: it adds no capacity, and moving it would add none.
	DataCentre  string
	Unreachable bool
	Evacuated   bool // operators have evacuated its data centre: it adds no capacity, and must not be moved to a pool
}

// A data centre counts as cut off if more than cutOffShare of its servers, and at least cutOffMinServers of them, are unreachable. Machines of the
// spare pool don't count, since they have no server that could answer.
const (
	cutOffShare      = 0.5
	cutOffMinServers = 3
)

// cutOffDataCentres returns the data centres most of whose servers are unreachable.
func cutOffDataCentres(machines []Machine, spare map[string]bool) map[string]bool {
	unreachable, total := map[string]int{}, map[string]int{}
	for _, m := range machines {
		if !m.Up || spare[m.Pool] {
			continue
		}
		total[m.DataCentre]++
		if m.Unreachable {
			unreachable[m.DataCentre]++
		}
	}
	cutOff := map[string]bool{}
	for dataCentre, n := range unreachable {
		cutOff[dataCentre] = n >= cutOffMinServers && float64(n) > cutOffShare*float64(total[dataCentre])
	}
	return cutOff
}

// Move is a machine to move and the pools that it leaves and joins.
type Move struct{ Machine, From, To string }

// pendingMove is a move that was decided but isn't visible in the list of machines yet.
type pendingMove struct {
	to    string
	since time.Duration
}

// Planner plans moves, and keeps track of those that aren't visible in the list of machines yet.
type Planner struct {
	pending  map[string]pendingMove // by machine
	parking  bool
	released []string
}

// New returns a planner that parks idle machines.
func New() *Planner { return &Planner{pending: map[string]pendingMove{}, parking: true} }

// Released returns the machines that, according to the last plan, should get no new work: their pools have more machines than they need while
// another pool is short. Jobs that can't finish on time would otherwise keep them busy, and the pool in demand would never get them.
func (p *Planner) Released() []string { return p.released }

// SetParking sets whether idle machines are moved to the spare pool.
func (p *Planner) SetParking(on bool) { p.parking = on }

// Arrivals returns how many machines are being moved to each pool, and the time until half of them are available.
func (p *Planner) Arrivals(now time.Duration) map[string]Arrival {
	remaining := map[string][]time.Duration{}
	for _, move := range p.pending {
		remaining[move.to] = append(remaining[move.to], max(0, MoveLatency-(now-move.since)))
	}
	arrivals := map[string]Arrival{}
	for pool, times := range remaining {
		slices.Sort(times)
		arrivals[pool] = Arrival{len(times), times[len(times)/2]}
	}
	return arrivals
}

// Arrival describes the machines that are on their way to a pool.
type Arrival struct {
	Machines   int
	ArrivingIn time.Duration // until half of them are available
}

// Forget removes the planned move of a machine, because it wasn't carried out.
func (p *Planner) Forget(machine string) { delete(p.pending, machine) }

// Moving reports whether a move of a machine is pending.
func (p *Planner) Moving(machine string) bool { _, ok := p.pending[machine]; return ok }

// poolState is the state of a pool while moves are planned.
type poolState struct {
	pool    Pool
	current int       // machines in the pool or being moved to it
	idle    []Machine // may be moved
	busy    []Machine // may be moved once their tasks have ended
	desired int
}

// Plan returns the moves to make now.
func (p *Planner) Plan(now time.Duration, pools []Pool, machines []Machine) []Move {
	states := p.poolStates(now, pools, machines)
	var moves []Move
	for _, short := range underprovisioned(states) {
		for short.current < short.desired {
			m, ok := takeIdle(states, short)
			if !ok {
				break
			}
			moves = append(moves, p.move(now, m, short.pool.Name))
			short.current++
		}
	}
	p.released = machinesToRelease(states)
	return append(moves, p.park(now, states)...)
}

// machinesToRelease returns busy machines of pools with a surplus, as many as other pools are short of, those with the fewest tasks first.
func machinesToRelease(states map[string]*poolState) []string {
	missing := 0
	var surplus []*poolState
	for _, s := range states {
		missing += max(0, s.desired-s.current)
		if !s.pool.Spare && s.current > s.desired {
			surplus = append(surplus, s)
		}
	}
	slices.SortFunc(surplus, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.current-b.desired, a.current-a.desired), cmp.Compare(a.pool.Name, b.pool.Name))
	})
	var released []string
	for _, s := range surplus {
		slices.SortFunc(s.busy, func(a, b Machine) int { return cmp.Or(cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.ID, b.ID)) })
		for _, m := range s.busy[:min(len(s.busy), missing, s.current-s.desired)] {
			released = append(released, m.ID)
		}
		missing -= min(len(s.busy), missing, s.current-s.desired)
	}
	return released
}

// poolStates returns the state of each pool, and removes pending moves that were completed or took too long.
func (p *Planner) poolStates(now time.Duration, pools []Pool, machines []Machine) map[string]*poolState {
	states := map[string]*poolState{}
	for _, pool := range pools {
		states[pool.Name] = &poolState{pool: pool}
	}
	spare := map[string]bool{}
	for _, pool := range pools {
		spare[pool.Name] = pool.Spare
	}
	cutOff := cutOffDataCentres(machines, spare)
	for _, m := range machines {
		if m.Evacuated {
			delete(p.pending, m.ID) // it doesn't arrive as capacity
			continue
		}
		if m.Unreachable || cutOff[m.DataCentre] {
			continue
		}
		if move, ok := p.pending[m.ID]; ok {
			if (m.Pool == move.to && m.Up) || now-move.since > moveTimeout {
				delete(p.pending, m.ID)
			} else {
				m.Pool, m.Empty = move.to, false
			}
		}
		s := states[m.Pool]
		if s == nil {
			continue
		}
		s.current++
		if m.Up && !m.Locked && (m.Empty || s.pool.Spare) {
			s.idle = append(s.idle, m)
		} else if m.Up && !m.Locked && !m.LongRunning && m.Tasks > 0 {
			s.busy = append(s.busy, m)
		}
	}
	capacity := largestCapacity(machines)
	for _, s := range states {
		slices.SortFunc(s.idle, func(a, b Machine) int { return cmp.Or(cmp.Compare(b.IdleFor, a.IdleFor), cmp.Compare(a.ID, b.ID)) })
		s.desired = max(s.pool.MinMachines, machinesFor(s.pool.Need, capacity))
		s.desired = max(s.desired, machinesForPeak(s.pool, capacity, s.current))
		if s.pool.Spare {
			s.desired = 0
		}
	}
	return states
}

// machinesForPeak returns how many machines a pool must have or be getting now so that each of its needs in the next peak is met when it arises.
func machinesForPeak(pool Pool, capacity jobs.Resources, current int) int {
	machines := 0
	for i, need := range pool.PeakNeeds {
		n := machinesFor(need, capacity)
		if pool.PeakIn+time.Duration(i-1)*pool.PeakStep <= leadTime(n-current) { // one step early, since moves are planned about once a step
			machines = max(machines, n) // a need that isn't due yet may come before one that is, since more machines take longer
		}
	}
	return machines
}

// leadTime returns how long before a peak the moves of the missing machines have to begin.
func leadTime(missing int) time.Duration {
	return MoveLatency + time.Duration(max(missing, 0))*moveInterval
}

// largestCapacity returns the capacity of the machine with the most processors, as that of a typical machine.
func largestCapacity(machines []Machine) jobs.Resources {
	var largest jobs.Resources
	for _, m := range machines {
		if m.Capacity.CPU > largest.CPU {
			largest = m.Capacity
		}
	}
	return largest
}

// machinesFor returns how many machines of a capacity a need takes, headroom included.
func machinesFor(need, capacity jobs.Resources) int {
	return int(math.Ceil(need.DominantShare(capacity) * headroom))
}

// underprovisioned returns the pools that have too few machines, those that lack the most first.
func underprovisioned(states map[string]*poolState) []*poolState {
	var short []*poolState
	for _, s := range states {
		if !s.pool.Spare && s.current < s.desired {
			short = append(short, s)
		}
	}
	slices.SortFunc(short, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.desired-b.current, a.desired-a.current), cmp.Compare(a.pool.Name, b.pool.Name))
	})
	return short
}

// takeIdle removes an idle machine from the pool that can best spare it: a spare pool first, then the one with the largest surplus.
func takeIdle(states map[string]*poolState, to *poolState) (Machine, bool) {
	var donor *poolState
	for _, s := range states {
		if s == to || len(s.idle) == 0 || (!s.pool.Spare && s.current <= s.desired) {
			continue
		}
		if donor == nil || betterDonor(s, donor) {
			donor = s
		}
	}
	if donor == nil {
		return Machine{}, false
	}
	m := donor.idle[0]
	donor.idle = donor.idle[1:]
	donor.current--
	return m, true
}

// betterDonor reports whether a can spare a machine better than b. Ties go to the lower name.
func betterDonor(a, b *poolState) bool {
	if a.pool.Spare != b.pool.Spare {
		return a.pool.Spare
	}
	return cmp.Or(cmp.Compare(a.current-a.desired, b.current-b.desired), cmp.Compare(b.pool.Name, a.pool.Name)) > 0
}

// park moves machines that have been idle for parkAfter from pools with a surplus to the spare pool (of several, the one with the lowest name).
func (p *Planner) park(now time.Duration, states map[string]*poolState) []Move {
	spare := ""
	for _, s := range states {
		if s.pool.Spare && (spare == "" || s.pool.Name < spare) {
			spare = s.pool.Name
		}
	}
	if spare == "" || !p.parking {
		return nil
	}
	limit := maxParked
	for _, s := range states {
		if s.current < s.desired {
			limit = maxParkedWhileShort
		}
	}
	var moves []Move
	for _, s := range states {
		if s.pool.Spare {
			continue
		}
		for _, m := range s.idle {
			if s.current > s.desired && m.IdleFor >= parkAfter && len(moves) < limit {
				moves = append(moves, p.move(now, m, spare))
				s.current--
			}
		}
	}
	slices.SortFunc(moves, func(a, b Move) int { return cmp.Compare(a.Machine, b.Machine) })
	return moves
}

// move returns a move of a machine, and records it as pending.
func (p *Planner) move(now time.Duration, m Machine, to string) Move {
	p.pending[m.ID] = pendingMove{to, now}
	return Move{m.ID, m.Pool, to}
}
