package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/upkeep"
)

const (
	// noticeTime is how long a task may not be at work before it counts as away: notice_ms, by the users' pages.
	noticeTime = 4500 * time.Millisecond
	// upkeepTime is how long the upkeep of a machine takes.
	upkeepTime = 2 * time.Second
	// roundInterval is the time between two looks at the waves, and orderTimeout the time after which an order without an answer is repeated.
	roundInterval = 200 * time.Millisecond
	orderTimeout  = 700 * time.Millisecond
	// handoverInterval is how long a dispatcher waits before it orders a machine that a former one has ordered.
	handoverInterval = 3500 * time.Millisecond
)

// upkeepModel is a model whose machines have their upkeep in waves. The platform may leave orders unanswered, and carry them out late.
type upkeepModel struct {
	*model
	planner   *upkeep.Planner
	plannedBy int64 // epoch of the planner's dispatcher
	waves     []jobs.Wave
	nextRound time.Duration
	platform  map[string]*modelMachine
	lateRate  float64 // share of the orders that are carried out late
	silent    bool    // orders are neither answered nor carried out
	late      []lateUpkeep
	started   map[int64][]string // machines whose upkeep is stored as begun, by wave
	atWorkAt  map[string]time.Duration
	ended     map[string]bool // tasks that an order has ended, until they are at work again
}

// modelMachine is a machine as the platform knows it.
type modelMachine struct {
	fence       int64
	begun       map[int64]bool // waves
	upkeepWave  int64          // 0 if it isn't in upkeep
	upkeepEnds  time.Duration
	lives       int
	announcedBy int64 // epoch of the dispatcher that has announced an order last
	announcedAt time.Duration
	announced   int64 // wave of that order
}

// lateUpkeep is an order that the platform carries out late.
type lateUpkeep struct {
	at    time.Duration
	order upkeep.Action
	token int64
}

func newUpkeepModel(seed uint64, servers int) *upkeepModel {
	m := &upkeepModel{
		model: newModel(seed, servers), platform: map[string]*modelMachine{}, started: map[int64][]string{}, atWorkAt: map[string]time.Duration{}, ended: map[string]bool{},
	}
	for _, s := range m.servers {
		m.platform[s.info.Machine] = &modelMachine{begun: map[int64]bool{}}
	}
	m.onStop = m.checkInterruption
	return m
}

// run advances the simulated time, with the waves.
func (m *upkeepModel) run(d time.Duration) {
	for until := m.now + d; m.now < until; {
		m.model.run(tick)
		m.watchTasks()
		for len(m.late) > 0 && m.late[0].at <= m.now {
			l := m.late[0]
			m.late = m.late[1:]
			m.executeUpkeep(l.order, l.token, true)
		}
		m.endUpkeep()
		if m.now >= m.nextRound {
			m.nextRound = m.now + roundInterval
			m.round()
		}
	}
}

// watchTasks records which long-running tasks are at work.
func (m *upkeepModel) watchTasks() {
	for _, s := range m.servers {
		for task, r := range s.runs {
			if m.steps[task].LongRunning && r.percent >= 100 {
				m.atWorkAt[task] = m.now
				delete(m.ended, task)
			}
		}
	}
}

// away returns how many other tasks of a task's step are away.
func (m *upkeepModel) away(task string) int {
	id, _ := jobs.ParseTaskID(task)
	n := 0
	for k := range m.steps[task].Count {
		other := jobs.TaskID{Job: id.Job, Index: k}.String()
		if at, worked := m.atWorkAt[other]; other != task && worked && (m.ended[other] || m.now-at >= noticeTime) {
			n++
		}
	}
	return n
}

// checkInterruption records a violation if an order that wasn't held up ends a task at work while too many others of its step are away.
func (m *upkeepModel) checkInterruption(s *fakeServer, task string) {
	step, r := m.steps[task], s.runs[task]
	id, _ := jobs.ParseTaskID(task)
	if step.MissBudget == 0 || r.percent < 100 || m.ledger.Jobs[id.Job].Cancelled {
		return
	}
	if m.heldUp {
		return // the rule excepts it, and a dispatcher learns of it later
	}
	if n := m.away(task); n >= step.MissBudget {
		m.violation("AVAIL %s is ended on %s while %d others of its step are away", task, s.info.ID, n)
	}
	m.ended[task] = true
}

// serverOf returns the server on a machine, or nil.
func (m *upkeepModel) serverOf(machine string) *fakeServer {
	for _, s := range m.servers {
		if s.info.Machine == machine {
			return s
		}
	}
	return nil
}

// executeUpkeep carries out an order as the platform does, and reports whether it was accepted.
func (m *upkeepModel) executeUpkeep(a upkeep.Action, token int64, late bool) bool {
	machine, s := m.platform[a.Machine], m.serverOf(a.Machine)
	if token < machine.fence {
		return false
	}
	machine.fence = token
	if machine.begun[a.Wave] {
		return true
	}
	if s == nil || !s.up || machine.upkeepWave != 0 {
		return false
	}
	down := 0
	for _, other := range m.platform {
		if other.upkeepWave == a.Wave {
			down++
		}
	}
	if most := m.waves[a.Wave-1].MaxConcurrent; down >= most {
		m.violation("LIMIT the upkeep of %s begins while %d machines of wave %d are down", a.Machine, down, a.Wave)
	}
	m.heldUp = late
	for task := range s.runs {
		if m.steps[task].LongRunning {
			m.checkInterruption(s, task)
		}
	}
	m.heldUp = false
	machine.begun[a.Wave], machine.upkeepWave, machine.upkeepEnds = true, a.Wave, m.now+upkeepTime
	s.up = false
	s.runs = map[string]*fakeRun{}
	return true
}

// endUpkeep gives machines whose upkeep is over a new server.
func (m *upkeepModel) endUpkeep() {
	for _, id := range sortedKeys(m.platform) {
		machine := m.platform[id]
		if machine.upkeepWave == 0 || m.now < machine.upkeepEnds {
			continue
		}
		machine.upkeepWave = 0
		machine.lives++
		old := m.serverOf(id)
		delete(m.servers, old.info.ID)
		s := m.addServer(fmt.Sprintf("%s-%d", id, machine.lives), old.info.Capacity)
		s.info.Machine, s.info.Labels = id, old.info.Labels
	}
}

// machineList returns the machines with their upkeep.
func (m *upkeepModel) machineList() []jobs.Machine {
	list := m.model.machineList()
	for i, machine := range list {
		list[i].Pool = "pool"
		if m.platform[machine.ID].upkeepWave != 0 {
			list[i].Phase, list[i].Up = jobs.MachineInUpkeep, false
		}
	}
	return list
}

// round plans the waves as package jobnode does, and sends the orders.
func (m *upkeepModel) round() {
	if m.plannedBy != m.epoch {
		m.planner, m.plannedBy = upkeep.New(upkeepTime), m.epoch
	}
	m.planner.AddWaves(m.waves, m.stored)
	list := m.machineList()
	m.core.Advance(m.now, m.wall(), m.storeDelay == 0)
	orders := m.planner.UnansweredOrders(m.now, orderTimeout, list, m.core)
	for _, a := range m.planner.Plan(m.now, list, m.core, 4) {
		if a.Cordon {
			m.core.Cordon(a.Server, true)
			continue
		}
		orders = append(orders, a)
	}
	for _, a := range orders {
		m.sendUpkeep(a)
	}
	m.send(m.core)
}

// stored returns what former dispatchers have stored about a wave.
func (m *upkeepModel) stored(number int64) upkeep.Stored {
	stored := upkeep.Stored{Started: m.started[number]}
	for _, id := range sortedKeys(m.platform) {
		machine := m.platform[id]
		if machine.announced == number && machine.announcedBy != m.epoch && m.now-machine.announcedAt <= upkeep.MaxOrderDelay+time.Second {
			stored.Ordered = append(stored.Ordered, id)
		}
	}
	return stored
}

// sendUpkeep sends an order, unless a former dispatcher has ordered the machine a moment ago.
func (m *upkeepModel) sendUpkeep(a upkeep.Action) {
	machine := m.platform[a.Machine]
	if machine.announcedBy != m.epoch && machine.announcedBy != 0 && m.now-machine.announcedAt < handoverInterval || m.storeDown {
		if !a.Repeated {
			m.planner.MarkUnsent(a.Wave, a.Machine)
			m.core.MarkUnsent(a.Server)
		}
		return
	}
	machine.announcedBy, machine.announcedAt, machine.announced = m.epoch, m.now, a.Wave
	switch {
	case m.silent:
		m.planner.MarkUnanswered(a.Wave, a.Machine, m.now)
	case m.rng.Float64() < m.lateRate:
		m.late = append(m.late, lateUpkeep{m.now + 2*time.Second + time.Duration(m.rng.Int64N(int64(upkeep.MaxOrderDelay-2*time.Second))), a, m.epoch})
		slices.SortStableFunc(m.late, func(a, b lateUpkeep) int { return int(a.at - b.at) })
		m.planner.MarkUnanswered(a.Wave, a.Machine, m.now)
	case m.executeUpkeep(a, m.epoch, false):
		m.planner.MarkAccepted(a.Wave, a.Machine)
		m.started[a.Wave] = m.planner.StartedMachines(a.Wave)
	default:
		m.planner.MarkRefused(a.Wave, a.Machine, m.now)
		if !m.planner.InProgress(a.Machine) {
			m.core.Cordon(a.Server, false)
		}
	}
}

// requestWave requests the upkeep of some machines.
func (m *upkeepModel) requestWave() {
	w := jobs.Wave{Number: int64(len(m.waves) + 1), DurationS: 26, MaxConcurrent: 1 + m.rng.IntN(2)}
	for _, id := range sortedKeys(m.platform) {
		if m.rng.IntN(2) == 0 {
			w.Machines = append(w.Machines, id)
		}
	}
	m.waves = append(m.waves, w)
}

// submitService submits a long-running job that tolerates one miss.
func (m *upkeepModel) submitService(id string) {
	step := stepOf(2+m.rng.IntN(2), 500)
	step.LongRunning, step.MaxPerServer, step.MissBudget = true, 1, 1
	m.longRunning = append(m.longRunning, id)
	m.submitFor("services", id, step)
}

// TestModelUpkeep guards against orders that end a long-running task while too many others of its step are away, and against more machines of a wave down than it
// allows, while orders for machines and servers are repeated or carried out late, servers crash and dispatchers follow each other.
func TestModelUpkeep(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newUpkeepModel(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(4, 7).Draw(rt, "servers"))
		m.run(time.Second)
		for i := range 3 {
			m.submitService(fmt.Sprintf("%016x", 0xcc0000+i))
		}
		m.run(2 * time.Second)
		ops := rapid.SliceOfN(rapid.IntRange(0, 13), 10, 40).Draw(rt, "ops")
		for i, op := range ops {
			m.injectUpkeepFault(i, op)
			m.run(time.Duration(200+m.rng.IntN(1500)) * time.Millisecond)
		}
		if len(m.violations) > 0 {
			rt.Fatalf("%d violations, the first: %s", len(m.violations), m.violations[0])
		}
	})
}

func (m *upkeepModel) injectUpkeepFault(i, op int) {
	ids := m.serverIDs()
	s := m.servers[ids[m.rng.IntN(len(ids))]]
	switch op {
	case 0, 1, 2:
		m.requestWave()
	case 3, 4:
		m.silent = !m.silent
	case 5, 6:
		m.lateRate = 0.5 - m.lateRate
	case 7, 8:
		if s.up {
			m.restartAtOnce(s)
		}
	case 9:
		m.takeOver()
	case 10, 11:
		m.lossRate = 0.5 - m.lossRate
	case 12:
		m.submit(fmt.Sprintf("%016x", i), stepOf(4, 500))
	case 13:
		m.storeDown = !m.storeDown
	}
}
