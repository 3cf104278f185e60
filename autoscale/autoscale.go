// Package autoscale decides which machines move between pools. Demand turns from queue to queue within seconds, a move takes about 1.5 s,
// and machines of the spare pool are off and cost nothing: machines come to a pool that needs more than it has, and go to the spare pool
// when nothing has run on them for a while. Only machines on which nothing runs are moved. It has no clock and does no I/O.
package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// parkAfter is how long a machine must be idle before it is parked. A move costs as much as about 1.1 s of a machine in a pool.
	parkAfter = 1200 * time.Millisecond
	// parkMost is the most machines that are parked in one round, and parkWhileNeedy the most while a pool has less than it wants: machines that
	// are needed go before machines that aren't, and the platform takes a bounded number of orders.
	parkMost       = 12
	parkWhileNeedy = 2
	// headroom is the share by which a pool's machines exceed what its tasks need, because tasks don't fill machines exactly.
	headroom = 1.12
	// MoveLatency is how long a move takes until the first task can start: 1.5 s of the machine, then its server's entry, the first report
	// and the record that it may have work.
	MoveLatency = 2300 * time.Millisecond
	// betweenMoves is the time for each machine of many that move together: the platform takes 64 orders a second.
	betweenMoves = 18 * time.Millisecond
	// settleWithin is how long a moved machine counts for its new pool before its server has to be there.
	settleWithin = 4 * time.Second
)

// Pool is what is known of a pool.
type Pool struct {
	Name  string
	Spare bool
	// Need is what the tasks that run, wait, or are about to come need together.
	Need jobs.Resources
	// PeakNeed is what the pool is expected to need once its turn comes, in a time of In, beside nothing but its long-running tasks. It is zero
	// if no turn is expected.
	PeakNeed jobs.Resources
	PeakIn   time.Duration
	// MinMachines is the least number of machines, for tasks that must be apart from each other.
	MinMachines int
}

// Machine is a machine as far as moves are concerned.
type Machine struct {
	ID, Pool    string
	Up          bool
	Capacity    jobs.Resources
	Empty       bool          // nothing runs on it
	IdleFor     time.Duration // how long nothing has run on it
	Locked      bool          // it is about to have its upkeep
	Tasks       int           // tasks that run on it and end by themselves
	LongRunning bool          // a task runs on it that lasts
	// DataCentre is where the machine is. Lost says that its server doesn't answer: it is no capacity, and moving it would bring none.
	DataCentre  string
	Unreachable bool
}

// Shares of the machines with a server that must be lost, and their least number, for a whole data centre to count as cut off. Machines of the
// spare pool have no server that could be asked.
const (
	cutShare = 0.5
	cutLeast = 3
)

// cutOff returns the data centres most of whose servers don't answer.
func cutOff(machines []Machine, spare map[string]bool) map[string]bool {
	lost, all := map[string]int{}, map[string]int{}
	for _, m := range machines {
		if !m.Up || spare[m.Pool] {
			continue
		}
		all[m.DataCentre]++
		if m.Unreachable {
			lost[m.DataCentre]++
		}
	}
	cut := map[string]bool{}
	for place, n := range lost {
		cut[place] = n >= cutLeast && float64(n) > cutShare*float64(all[place])
	}
	return cut
}

// Move is a decision.
type Move struct{ Machine, From, To string }

type flight struct {
	to    string
	since time.Duration
}

// Planner remembers moves that haven't shown in the list of machines yet.
type Planner struct {
	flights  map[string]flight
	parking  bool
	released []string
}

// New returns a planner.
func New() *Planner { return &Planner{flights: map[string]flight{}, parking: true} }

// Released returns the machines that should get no new work, by the last plan: their pools can do without them, and another pool can't. Jobs that
// can't be on time would otherwise keep them busy, and the pool whose turn it is would never get them.
func (p *Planner) Released() []string { return p.released }

// SetParking says whether idle machines go to the spare pool.
func (p *Planner) SetParking(on bool) { p.parking = on }

// Arrivals returns how many machines are on their way to each pool, and when half of them are there.
func (p *Planner) Arrivals(now time.Duration) map[string]Arrival {
	left := map[string][]time.Duration{}
	for _, f := range p.flights {
		left[f.to] = append(left[f.to], max(0, MoveLatency-(now-f.since)))
	}
	arrivals := map[string]Arrival{}
	for pool, times := range left {
		slices.Sort(times)
		arrivals[pool] = Arrival{len(times), times[len(times)/2]}
	}
	return arrivals
}

// Arrival is machines that are on their way to a pool.
type Arrival struct {
	Machines int
	In       time.Duration
}

// Forget forgets a move that wasn't made.
func (p *Planner) Forget(machine string) { delete(p.flights, machine) }

// Moving reports whether a machine is on its way.
func (p *Planner) Moving(machine string) bool { _, ok := p.flights[machine]; return ok }

// state is a pool while moves are planned.
type state struct {
	pool Pool
	have int       // machines that serve it, or will
	idle []Machine // that may leave
	busy []Machine // that may leave once their tasks have ended
	want int
}

// Plan returns the moves to make now.
func (p *Planner) Plan(now time.Duration, pools []Pool, machines []Machine) []Move {
	states := p.states(now, pools, machines)
	var moves []Move
	for _, needy := range ordered(states) {
		for needy.have < needy.want {
			m, ok := take(states, needy)
			if !ok {
				break
			}
			moves = append(moves, p.move(now, m, needy.pool.Name))
			needy.have++
		}
	}
	p.released = release(states)
	return append(moves, p.park(now, states)...)
}

// release returns the machines that should become empty, as many as other pools lack, those with the fewest tasks first.
func release(states map[string]*state) []string {
	missing := 0
	var rich []*state
	for _, s := range states {
		missing += max(0, s.want-s.have)
		if !s.pool.Spare && s.have > s.want {
			rich = append(rich, s)
		}
	}
	slices.SortFunc(rich, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.have-b.want, a.have-a.want), cmp.Compare(a.pool.Name, b.pool.Name))
	})
	var released []string
	for _, s := range rich {
		slices.SortFunc(s.busy, func(a, b Machine) int { return cmp.Or(cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.ID, b.ID)) })
		for _, m := range s.busy[:min(len(s.busy), missing, s.have-s.want)] {
			released = append(released, m.ID)
		}
		missing -= min(len(s.busy), missing, s.have-s.want)
	}
	return released
}

func (p *Planner) states(now time.Duration, pools []Pool, machines []Machine) map[string]*state {
	states := map[string]*state{}
	for _, pool := range pools {
		states[pool.Name] = &state{pool: pool}
	}
	spare := map[string]bool{}
	for _, pool := range pools {
		spare[pool.Name] = pool.Spare
	}
	cut := cutOff(machines, spare)
	for _, m := range machines {
		if m.Unreachable || cut[m.DataCentre] {
			continue
		}
		if f, ok := p.flights[m.ID]; ok {
			if (m.Pool == f.to && m.Up) || now-f.since > settleWithin {
				delete(p.flights, m.ID)
			} else {
				m.Pool, m.Empty = f.to, false
			}
		}
		s := states[m.Pool]
		if s == nil {
			continue
		}
		s.have++
		if m.Up && !m.Locked && (m.Empty || s.pool.Spare) {
			s.idle = append(s.idle, m)
		} else if m.Up && !m.Locked && !m.LongRunning && m.Tasks > 0 {
			s.busy = append(s.busy, m)
		}
	}
	room := largest(machines)
	for _, s := range states {
		slices.SortFunc(s.idle, func(a, b Machine) int { return cmp.Or(cmp.Compare(b.IdleFor, a.IdleFor), cmp.Compare(a.ID, b.ID)) })
		s.want = max(s.pool.MinMachines, wanted(s.pool.Need, room))
		if soon := wanted(s.pool.PeakNeed, room); soon > s.want && s.pool.PeakIn <= lead(soon-s.have) {
			s.want = soon
		}
		if s.pool.Spare {
			s.want = 0
		}
	}
	return states
}

// lead returns how long before a turn the moves of missing machines have to begin.
func lead(missing int) time.Duration {
	return MoveLatency + time.Duration(max(missing, 0))*betweenMoves
}

// largest returns the usual room of a machine.
func largest(machines []Machine) jobs.Resources {
	var r jobs.Resources
	for _, m := range machines {
		if m.Capacity.CPU > r.CPU {
			r = m.Capacity
		}
	}
	return r
}

// wanted returns how many machines a need fills.
func wanted(need, room jobs.Resources) int {
	return int(math.Ceil(need.DominantShare(room) * headroom))
}

// ordered returns the pools that need machines, the neediest first.
func ordered(states map[string]*state) []*state {
	var needy []*state
	for _, s := range states {
		if !s.pool.Spare && s.have < s.want {
			needy = append(needy, s)
		}
	}
	slices.SortFunc(needy, func(a, b *state) int {
		return cmp.Or(cmp.Compare(b.want-b.have, a.want-a.have), cmp.Compare(a.pool.Name, b.pool.Name))
	})
	return needy
}

// take removes a machine from the pool that can best do without it: the spare pool first, then the one with the most machines too many.
func take(states map[string]*state, to *state) (Machine, bool) {
	var from *state
	for _, s := range states {
		if s == to || len(s.idle) == 0 || (!s.pool.Spare && s.have <= s.want) {
			continue
		}
		if from == nil || better(s, from) {
			from = s
		}
	}
	if from == nil {
		return Machine{}, false
	}
	m := from.idle[0]
	from.idle = from.idle[1:]
	from.have--
	return m, true
}

func better(a, b *state) bool {
	if a.pool.Spare != b.pool.Spare {
		return a.pool.Spare
	}
	return cmp.Or(cmp.Compare(a.have-a.want, b.have-b.want), cmp.Compare(b.pool.Name, a.pool.Name)) > 0
}

// park moves machines that nothing needs to the spare pool.
func (p *Planner) park(now time.Duration, states map[string]*state) []Move {
	spare := ""
	for _, s := range states {
		if s.pool.Spare && (spare == "" || s.pool.Name < spare) {
			spare = s.pool.Name
		}
	}
	if spare == "" || !p.parking {
		return nil
	}
	most := parkMost
	for _, s := range states {
		if s.have < s.want {
			most = parkWhileNeedy
		}
	}
	var moves []Move
	for _, s := range states {
		if s.pool.Spare {
			continue
		}
		for _, m := range s.idle {
			if s.have > s.want && m.IdleFor >= parkAfter && len(moves) < most {
				moves = append(moves, p.move(now, m, spare))
				s.have--
			}
		}
	}
	slices.SortFunc(moves, func(a, b Move) int { return cmp.Compare(a.Machine, b.Machine) })
	return moves
}

func (p *Planner) move(now time.Duration, m Machine, to string) Move {
	p.flights[m.ID] = flight{to, now}
	return Move{m.ID, m.Pool, to}
}
