// Package upkeep schedules the upkeep of machines that operators request in waves: within the wave's time, on no more machines at once than the wave
// allows, and never so that a long-running task ends while too many others of its step are unavailable. The package reads no clock and does no I/O.
package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// drainPeriod is how long a server gets no new work before the upkeep of its machine, so that short tasks can end: quotes run 1 to 2.5 s.
	drainPeriod = 2500 * time.Millisecond
	// returnGrace is how long, beyond the duration of the upkeep, a machine that isn't listed as up again still counts as down.
	returnGrace = 500 * time.Millisecond
	// MaxOrderDelay is the longest time after which the platform carries out an order that got no response.
	MaxOrderDelay = 12 * time.Second
)

// Dispatcher is the part of the dispatcher that the planner uses.
type Dispatcher interface {
	// ShortTaskCount returns the number of running tasks of a server, without long-running ones.
	ShortTaskCount(server string) int
	// LongRunningTaskCount returns the number of long-running tasks of a server.
	LongRunningTaskCount(server string) int
	// MayTerminate reports whether a server may be terminated with all of its running tasks without making too many tasks of a step unavailable.
	MayTerminate(server string) bool
	// MarkTerminating records that the upkeep of a server's machine is being ordered, so that its tasks count as unavailable.
	MarkTerminating(server string)
	// RelocateExcessTasks moves long-running tasks to other servers, one after another, if more tasks of one step run on the server than may end at
	// once.
	RelocateExcessTasks(server string)
}

// Action is the next step of a machine's upkeep: to cordon its server, which then gets no new work, or to order the upkeep.
type Action struct {
	Wave    int64
	Machine string
	Server  string
	Cordon  bool // cordon the server; otherwise order the upkeep
	// Repeated says that the order has been sent before and has had no answer, so that it may have been carried out, or may still be.
	Repeated bool
}

// A wave drains at most one in drainDivisor machines of a pool at the same time (but at least one machine), and one in urgentDrainDivisor once the
// share urgentAfter of the wave's time has passed, since a wave that is late leaves machines without upkeep.
const (
	drainDivisor       = 8
	urgentDrainDivisor = 3
	urgentAfter        = 0.6
)

// machineState is the state of a machine that is drained for its upkeep, or down for it.
type machineState struct {
	cordonedAt   time.Duration
	ordered      bool          // the upkeep was ordered, by a former dispatcher maybe; otherwise the server is being drained
	orderedAt    time.Duration // when the order was last decided
	accepted     bool          // the platform has accepted the order
	former       bool          // the order is one of a former dispatcher, of which nothing else is known
	unansweredAt time.Duration // when the last order was known to have no answer; 0 if all had one
	server       string        // the server that is drained, and ends with the order
}

// wave is the state of one wave.
type wave struct {
	request    jobs.Wave
	plannedAt  time.Duration   // of the first plan
	started    map[string]bool // machines whose upkeep has begun, or that have left the fleet
	inProgress map[string]*machineState
}

// Planner holds the state of all waves. The planner of a new dispatcher orders again what isn't stored as started: an order for a machine that has
// already had its upkeep has no effect.
type Planner struct {
	duration  time.Duration   // of the upkeep of one machine
	waves     map[int64]*wave // by number
	evacuated func(dataCentre string) bool
}

// New returns a planner for upkeep that takes a duration on each machine.
func New(duration time.Duration) *Planner {
	return &Planner{duration, map[int64]*wave{}, func(string) bool { return false }}
}

// SetEvacuated sets the function that says which data centres are evacuated. Their machines are no capacity that a wave has to spare, so they go first.
func (p *Planner) SetEvacuated(evacuated func(dataCentre string) bool) { p.evacuated = evacuated }

// Stored is what former dispatchers have stored about a wave.
type Stored struct {
	Started []string // machines whose upkeep has begun
	// Ordered are machines whose upkeep was ordered, and maybe not begun yet. They count as down, and the order is repeated: it then begins now or has begun, and
	// the platform refuses the former one from then on.
	Ordered []string
}

// AddWaves adds the waves that operators have requested and the planner doesn't know yet. The function stored returns what is stored about a wave.
func (p *Planner) AddWaves(waves []jobs.Wave, stored func(number int64) Stored) {
	for _, request := range waves {
		if p.waves[request.Number] != nil {
			continue
		}
		w := &wave{request: request, started: map[string]bool{}, inProgress: map[string]*machineState{}}
		known := stored(request.Number)
		for _, machine := range known.Started {
			w.started[machine] = true
		}
		for _, machine := range known.Ordered {
			if !w.started[machine] && slices.Contains(request.Machines, machine) {
				w.inProgress[machine] = &machineState{ordered: true, former: true}
			}
		}
		p.waves[request.Number] = w
	}
}

// StartedMachines returns the machines of a wave whose upkeep has begun, or that have left the fleet.
func (p *Planner) StartedMachines(number int64) []string {
	w := p.waves[number]
	if w == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(w.started))
}

// HasOpenWaves reports whether a wave has machines whose upkeep hasn't begun.
func (p *Planner) HasOpenWaves() bool {
	for _, w := range p.waves {
		if !w.complete() {
			return true
		}
	}
	return false
}

func (w *wave) complete() bool { return len(w.started) >= len(w.request.Machines) }

// CompletedWaves returns the numbers of the waves in which the upkeep of all machines has begun.
func (p *Planner) CompletedWaves() []int64 {
	var numbers []int64
	for number, w := range p.waves {
		if w.complete() {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// Plan returns the actions to take now, given the listed machines, with at most maxOrders orders of upkeep. Each order counts against the budgets
// before the next one is decided.
func (p *Planner) Plan(now time.Duration, listed []jobs.Machine, dispatcher Dispatcher, maxOrders int) []Action {
	if !p.HasOpenWaves() && !p.anyInProgress() {
		return nil
	}
	machines := make(map[string]jobs.Machine, len(listed))
	for _, m := range listed {
		machines[m.ID] = m
	}
	var actions []Action
	for _, number := range p.waveNumbers() {
		w := p.waves[number]
		if w.plannedAt == 0 {
			w.plannedAt = now
		}
		w.removeFinished(now, machines, p.duration)
		candidates := w.candidates(machines, dispatcher, p.evacuated)
		for {
			orders := w.orderUpkeep(now, machines, dispatcher, maxOrders, p.orderedInOther(number))
			maxOrders -= len(orders)
			cordoned := w.cordon(now, machines, &candidates, p.evacuated)
			actions = append(append(actions, orders...), cordoned...)
			if len(cordoned) == 0 || maxOrders <= 0 {
				break // otherwise again, since a server that was just cordoned may already be empty
			}
		}
	}
	return actions
}

// orderedInOther returns the machines whose upkeep is ordered in other waves than the given one. The platform would refuse a second order.
func (p *Planner) orderedInOther(number int64) map[string]bool {
	machines := map[string]bool{}
	for other, w := range p.waves {
		for id, state := range w.inProgress {
			if other != number && state.ordered {
				machines[id] = true
			}
		}
	}
	return machines
}

// anyInProgress reports whether a machine is drained or down for a wave.
func (p *Planner) anyInProgress() bool {
	for _, w := range p.waves {
		if len(w.inProgress) > 0 {
			return true
		}
	}
	return false
}

// waveNumbers returns the numbers of all waves in ascending order.
func (p *Planner) waveNumbers() []int64 {
	numbers := make([]int64, 0, len(p.waves))
	for number := range p.waves {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// removeFinished removes machines from those in progress that are up again, whose upkeep and returnGrace are over, or that have left the fleet.
// Machines of the wave that have left the fleet count as started.
func (w *wave) removeFinished(now time.Duration, machines map[string]jobs.Machine, duration time.Duration) {
	for id, state := range w.inProgress {
		m, present := machines[id]
		switch {
		case !present, !state.ordered && m.Up && m.Server != state.server:
			delete(w.inProgress, id)
		case state.accepted && now-state.orderedAt > duration && (m.Up && m.Server != state.server || now-state.orderedAt > duration+returnGrace):
			delete(w.inProgress, id)
		}
	}
	if len(machines) == 0 {
		return
	}
	for _, id := range w.request.Machines {
		if _, present := machines[id]; !present {
			w.started[id] = true
		}
	}
}

// downCount returns the number of machines that are, or may be, down for the wave.
func (w *wave) downCount(machines map[string]jobs.Machine) int {
	n := 0
	for _, id := range w.request.Machines {
		state := w.inProgress[id]
		if state != nil && state.ordered || machines[id].Phase == jobs.MachineInUpkeep {
			n++
		}
	}
	return n
}

// orderUpkeep orders the upkeep of machines whose servers are empty, or have been drained for long enough, without the excluded ones.
func (w *wave) orderUpkeep(now time.Duration, machines map[string]jobs.Machine, dispatcher Dispatcher, limit int, excluded map[string]bool) []Action {
	limit = min(limit, max(w.request.MaxConcurrent, 1)-w.downCount(machines))
	var orders []Action
	for _, id := range w.draining(machines, dispatcher) {
		if len(orders) >= limit {
			break
		}
		if excluded[id] {
			continue
		}
		state := w.inProgress[id]
		server := machines[id].Server
		dispatcher.RelocateExcessTasks(server)
		if !state.mayEnd(now, server, dispatcher) {
			continue
		}
		state.ordered, state.orderedAt, state.server = true, now, server
		dispatcher.MarkTerminating(server)
		orders = append(orders, Action{Wave: w.request.Number, Machine: id, Server: server})
	}
	return orders
}

// mayEnd reports whether the server of a machine may end now: its short tasks have ended, or had time to, and the budgets allow it.
func (s *machineState) mayEnd(now time.Duration, server string, dispatcher Dispatcher) bool {
	return (dispatcher.ShortTaskCount(server) == 0 || now-s.cordonedAt >= drainPeriod) && dispatcher.MayTerminate(server)
}

// draining returns the machines whose servers are being drained, those with the most long-running tasks first.
func (w *wave) draining(machines map[string]jobs.Machine, dispatcher Dispatcher) []string {
	var ids []string
	longRunning := map[string]int{}
	for id, state := range w.inProgress {
		if !state.ordered {
			ids = append(ids, id)
			longRunning[id] = dispatcher.LongRunningTaskCount(machines[id].Server)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(longRunning[b], longRunning[a]), cmp.Compare(a, b))
	})
	return ids
}

// drainAllowance returns how many further machines of each pool may be drained. Those in evacuated data centres don't count.
func (w *wave) drainAllowance(now time.Duration, machines map[string]jobs.Machine, evacuated func(string) bool) map[string]int {
	divisor := drainDivisor
	if (now - w.plannedAt).Seconds() > urgentAfter*w.request.DurationS {
		divisor = urgentDrainDivisor
	}
	allowance := map[string]int{}
	for _, m := range machines {
		if !evacuated(m.DataCentre) {
			allowance[m.Pool]++
		}
	}
	for pool, n := range allowance {
		allowance[pool] = max(1, n/divisor)
	}
	for id, state := range w.inProgress {
		if !state.ordered && !evacuated(machines[id].DataCentre) {
			allowance[machines[id].Pool]--
		}
	}
	return allowance
}

// candidate is a machine whose upkeep hasn't been begun.
type candidate struct {
	jobs.Machine
	shortTasks, longRunning int
	evacuated               bool
}

// candidates returns the machines to drain, in order: those in evacuated data centres first, then the least busy first, and among equals those with the most long-running tasks first. The
// budgets of long-running tasks let only a few of these machines go down at a time, and the wave ends with the last of them.
func (w *wave) candidates(machines map[string]jobs.Machine, dispatcher Dispatcher, evacuated func(string) bool) []candidate {
	var candidates []candidate
	for _, id := range w.request.Machines {
		if m := machines[id]; m.Up && !w.started[id] && w.inProgress[id] == nil {
			candidates = append(candidates, candidate{m, dispatcher.ShortTaskCount(m.Server), dispatcher.LongRunningTaskCount(m.Server), evacuated(m.DataCentre)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBool(b.evacuated, a.evacuated), cmp.Compare(a.shortTasks, b.shortTasks), cmp.Compare(b.longRunning, a.longRunning), cmp.Compare(a.ID, b.ID))
	})
	return candidates
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// cordon begins to drain candidates, as many of each pool as may be drained, and keeps the others as candidates.
func (w *wave) cordon(now time.Duration, machines map[string]jobs.Machine, candidates *[]candidate, evacuated func(string) bool) []Action {
	if len(*candidates) == 0 {
		return nil
	}
	allowance := w.drainAllowance(now, machines, evacuated)
	var actions []Action
	var rest []candidate
	defer func() { *candidates = rest }()
	for _, m := range *candidates {
		if !m.evacuated && allowance[m.Pool] <= 0 {
			rest = append(rest, m)
			continue
		}
		if !m.evacuated {
			allowance[m.Pool]--
		}
		w.inProgress[m.ID] = &machineState{cordonedAt: now, server: m.Server}
		actions = append(actions, Action{Wave: w.request.Number, Machine: m.ID, Server: m.Server, Cordon: true})
	}
	return actions
}

// MarkAccepted records that the platform has begun the upkeep of a machine, or had done it before.
func (p *Planner) MarkAccepted(wave int64, machine string) {
	if w := p.waves[wave]; w != nil {
		w.started[machine] = true
		if state := w.inProgress[machine]; state != nil {
			state.accepted = true
		}
	}
}

// MarkUnsent records that an order wasn't sent. The server stays cordoned, and the order is decided again.
func (p *Planner) MarkUnsent(wave int64, machine string) {
	if w := p.waves[wave]; w != nil && w.inProgress[machine] != nil {
		w.inProgress[machine].ordered = false
	}
}

// MarkUnanswered records that an order has had no answer, so that it may be carried out until MaxOrderDelay after now.
func (p *Planner) MarkUnanswered(wave int64, machine string, now time.Duration) {
	if w := p.waves[wave]; w != nil && w.inProgress[machine] != nil {
		w.inProgress[machine].unansweredAt = now
	}
}

// MarkRefused records that an order had no effect, so that the upkeep of the machine is planned again. If one before it had no answer and may still be carried
// out, it is repeated instead.
func (p *Planner) MarkRefused(wave int64, machine string, now time.Duration) {
	w := p.waves[wave]
	if w == nil || w.inProgress[machine] == nil {
		return
	}
	if at := w.inProgress[machine].unansweredAt; at == 0 || now-at > MaxOrderDelay {
		delete(w.inProgress, machine)
	}
}

// DueServers returns the servers whose machines are in an open wave and haven't begun their upkeep.
func (p *Planner) DueServers(listed []jobs.Machine) map[string]bool {
	due := map[string]bool{}
	for _, w := range p.waves {
		if w.complete() {
			continue
		}
		outstanding := make(map[string]bool, len(w.request.Machines))
		for _, id := range w.request.Machines {
			outstanding[id] = !w.started[id]
		}
		for _, m := range listed {
			if outstanding[m.ID] {
				due[m.Server] = true
			}
		}
	}
	return due
}

// UnansweredOrders returns the orders that have had no answer for longer than a timeout and have to be repeated. One that would end tasks which the budgets
// don't allow to end now waits: they may have changed since it was decided, or the machine may have another server by now.
func (p *Planner) UnansweredOrders(now, timeout time.Duration, listed []jobs.Machine, dispatcher Dispatcher) []Action {
	machines := make(map[string]jobs.Machine, len(listed))
	for _, m := range listed {
		machines[m.ID] = m
	}
	var actions []Action
	for _, number := range p.waveNumbers() {
		w := p.waves[number]
		for _, id := range w.request.Machines {
			state := w.inProgress[id]
			if state == nil || !state.ordered || state.accepted {
				continue
			}
			if state.former {
				state.former, state.unansweredAt = false, now
			}
			m := machines[id]
			if m.Up {
				if m.Server != state.server {
					state.server, state.cordonedAt = m.Server, now
				}
				dispatcher.MarkTerminating(state.server)
			}
			if now-state.orderedAt <= timeout || m.Up && !state.mayEnd(now, state.server, dispatcher) {
				continue
			}
			state.orderedAt = now
			actions = append(actions, Action{Wave: number, Machine: id, Server: state.server, Repeated: true})
		}
	}
	return actions
}

// InProgress reports whether a machine is being drained for its upkeep, or is down for it.
func (p *Planner) InProgress(machine string) bool {
	for _, w := range p.waves {
		if w.inProgress[machine] != nil {
			return true
		}
	}
	return false
}
