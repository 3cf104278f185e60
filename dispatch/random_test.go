package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/internal/testenv"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

func TestMain(m *testing.M) { testenv.Main(m) }

// stepOf returns a step of tasks of equal size.
func stepOf(count int, cpu int64, after ...int) jobs.Step {
	return jobs.Step{Count: count, Need: jobs.Resources{CPU: cpu, MemoryMB: 100}, EstimateMS: 800, After: after}
}

// TestModel guards against starts that violate the users' rules under random sequences of faults: concurrent runs of one task, starts after the
// end or out of order, starts that exceed a server's capacity or a workspace's limit, and too many tasks of a step on one server. Once all faults
// have ended, it guards against long-running tasks that don't start although there is room, and against jobs that don't end.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 6).Draw(rt, "servers"))
		ops := rapid.SliceOfN(rapid.IntRange(0, 24), 10, 40).Draw(rt, "ops")
		for i, op := range ops {
			m.injectFault(i, op)
			m.run(time.Duration(200+m.rng.IntN(1500)) * time.Millisecond)
		}
		m.endFaults()
		m.run(restartTime)
		m.checkLongRunning()
		m.endLoad()
		m.run(settleTime)
		m.checkAllEnded()
		if len(m.violations) > 0 {
			rt.Fatalf("%d violations, the first: %s", len(m.violations), m.violations[0])
		}
	})
}

// TestModelLongRunning guards against long-running tasks that don't start again after random losses of their servers, although there is room for them
// where their constraints, which are drawn together, allow them. Short tasks run on one rack all the time.
func TestModelLongRunning(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(4, 8).Draw(rt, "servers"))
		m.loadRack = m.randomRack()
		m.run(time.Second)
		for i := range rapid.IntRange(1, 3).Draw(rt, "jobs") {
			m.submitLongRunning(fmt.Sprintf("%016x", i))
		}
		for _, fault := range rapid.SliceOfN(rapid.SampledFrom([]func(*model, *fakeServer){
			(*model).loseServer, (*model).loseServer, (*model).restartAtOnce,
			func(m *model, _ *fakeServer) { m.cutOffDispatcher(m.rackServers(m.randomRack())...) },
		}), 1, 3).Draw(rt, "faults") {
			m.run(time.Duration(300+m.rng.IntN(4000)) * time.Millisecond)
			if s := m.longRunningServer(); s != nil {
				fault(m, s)
			}
		}
		m.endFaults()
		m.run(restartTime)
		m.checkLongRunning()
		if len(m.violations) > 0 {
			rt.Fatalf("%d violations, the first: %s", len(m.violations), m.violations[0])
		}
	})
}

const (
	// settleTime is longer than all leases, delays and probes together.
	settleTime = 40 * time.Second
	// restartTime is longer than it may take until a long-running task starts again after the last fault: the silence of its server is resolved after
	// maxSilenceWait, and a server has to become free.
	restartTime = 18 * time.Second
	// loadInterval is the time between two jobs of the load.
	loadInterval = 180 * time.Millisecond
	// machineListInterval is the time between two reads of the list of machines.
	machineListInterval = 200 * time.Millisecond
)

// model is a simulated fleet in two racks, with long-running jobs, and a load of short tasks on the servers of one rack.
type model struct {
	*simulation
	longRunning []string // ids of the jobs
	loadRack    string   // empty while there is no load
	loadJobs    int
	nextLoad    time.Duration
	nextList    time.Duration
}

var modelRacks = [...]string{"rack-a", "rack-b"}

func newModel(seed uint64, servers int) *model {
	m := &model{simulation: newSimulation(seed, servers)}
	for i, id := range m.serverIDs() {
		m.servers[id].info.Labels = []string{modelRacks[i%len(modelRacks)]}
	}
	m.maxListedEnds = 4
	m.config.Workspaces = append(m.config.Workspaces, jobs.Workspace{Name: "services"}, jobs.Workspace{Name: "load"})
	m.core.SetConfiguration(m.config)
	return m
}

// run advances the simulated time, with the load and the list of machines.
func (m *model) run(d time.Duration) {
	for until := m.now + d; m.now < until; {
		if m.loadRack != "" && m.now >= m.nextLoad {
			m.nextLoad = m.now + loadInterval
			m.submitLoad()
		}
		m.step()
		if m.now >= m.nextList {
			m.nextList = m.now + machineListInterval
			m.core.ServerListComplete()
			m.core.UpdateMachines(m.machineList())
		}
	}
}

// submitLoad submits a job with one short task on each server of the load's rack.
func (m *model) submitLoad() {
	step := stepOf(len(m.rackServers(m.loadRack)), 500)
	step.Label, step.MaxPerServer = m.loadRack, 1
	m.loadJobs++
	m.submitFor("load", fmt.Sprintf("%016x", 0xabc000+m.loadJobs), step)
}

// machineList returns the machines of the fleet. That of a server which has crashed is down.
func (m *model) machineList() []jobs.Machine {
	var all []jobs.Machine
	for _, id := range m.serverIDs() {
		s := m.servers[id]
		machine := jobs.Machine{ID: s.info.Machine, Phase: "down"}
		if s.up {
			machine.Server, machine.Up, machine.Phase = id, true, "up"
		}
		all = append(all, machine)
	}
	return all
}

// submitLongRunning submits a long-running job with random constraints.
func (m *model) submitLongRunning(id string) {
	step := stepOf(1+m.rng.IntN(3), 500)
	step.LongRunning, step.MaxPerServer = true, min(m.rng.IntN(3), 1)
	if m.rng.IntN(4) > 0 {
		step.Rack = m.randomRack()
	}
	if m.rng.IntN(4) == 0 {
		step.Label = m.randomRack()
	}
	m.longRunning = append(m.longRunning, id)
	m.submitFor("services", id, step)
}

// loseServer removes a server and its machine for good, unless it is the last one of its rack.
func (m *model) loseServer(s *fakeServer) {
	if len(m.rackServers(s.info.Rack())) > 1 {
		delete(m.servers, s.info.ID)
	}
}

// longRunningServer returns a random server that runs a long-running task, or nil if there is none.
func (m *model) longRunningServer() *fakeServer {
	var found []*fakeServer
	for _, id := range m.serverIDs() {
		s := m.servers[id]
		for task := range s.runs {
			if m.steps[task].LongRunning {
				found = append(found, s)
				break
			}
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[m.rng.IntN(len(found))]
}

// restartAtOnce ends a server, which comes back under its id before anybody notices.
func (m *model) restartAtOnce(s *fakeServer) {
	cutOff, behindCut := s.cutOff, s.behindCut
	m.restart(s)
	s.cutOff, s.behindCut = cutOff, behindCut
}

func (m *model) randomRack() string { return modelRacks[m.rng.IntN(len(modelRacks))] }

// rackServers returns the servers of a rack.
func (m *model) rackServers(rack string) []*fakeServer {
	var found []*fakeServer
	for _, id := range m.serverIDs() {
		if s := m.servers[id]; s.info.HasLabel(rack) {
			found = append(found, s)
		}
	}
	return found
}

// injectFault also restarts or loses a server, cuts off a rack with the dispatcher, or submits a long-running job or the load.
func (m *model) injectFault(i, op int) {
	ids := m.serverIDs()
	s := m.servers[ids[m.rng.IntN(len(ids))]]
	switch op {
	case 13, 14:
		m.restartAtOnce(s)
	case 15, 16, 17:
		m.cutOffDispatcher(m.rackServers(m.randomRack())...)
	case 18:
		m.loseServer(s)
	case 19, 20, 21, 22:
		m.submitLongRunning(fmt.Sprintf("%016x", i))
	case 23:
		m.loadRack = m.randomRack()
	case 24:
		m.storeDown = !m.storeDown
	default:
		m.simulation.injectFault(i, op)
	}
}

// endFaults ends all faults.
func (sim *simulation) endFaults() {
	sim.lossRate, sim.predecessor, sim.storeDown = 0, nil, false
	for _, s := range sim.servers {
		if !s.up {
			sim.restart(s)
		}
		s.cutOff, s.behindCut, s.failing, s.stalled, s.info.Ready = false, false, false, false, true
	}
}

// checkLongRunning records a violation for each long-running task that doesn't run although two servers have room for it.
func (m *model) checkLongRunning() {
	for _, id := range m.longRunning {
		e := m.ledger.Jobs[id]
		if e.Final != nil || e.Cancelled {
			continue
		}
		step := m.specs[id].Spec.Steps[0]
		for k := range step.Count {
			task := jobs.TaskID{Job: id, Index: k}.String()
			if m.serverOfTask(task) == nil && m.serversWithRoom(id, step) >= 2 {
				m.violation("LOST %s doesn't run", task)
			}
		}
	}
}

// serverOfTask returns the server that runs a task, or nil.
func (m *model) serverOfTask(task string) *fakeServer {
	for _, s := range m.servers {
		if s.runs[task] != nil {
			return s
		}
	}
	return nil
}

// serversWithRoom returns the number of servers that may run another task of a job's only step.
func (m *model) serversWithRoom(job string, step jobs.Step) int {
	n := 0
	for _, s := range m.servers {
		same := 0
		for task := range s.runs {
			if id, ok := jobs.ParseTaskID(task); ok && id.Job == job {
				same++
			}
		}
		if s.info.HasLabel(step.Label) && (step.MaxPerServer == 0 || same < step.MaxPerServer) && s.used(m.steps).Add(step.Allocation()).Fits(s.info.Capacity) {
			n++
		}
	}
	return n
}

// endLoad ends the load and cancels the long-running jobs.
func (m *model) endLoad() {
	m.loadRack = ""
	for _, id := range m.longRunning {
		m.cancel(id)
	}
}

// checkAllEnded records a violation for each job that has not ended, since nothing keeps it from ending.
func (sim *simulation) checkAllEnded() {
	for id := range sim.specs {
		if sim.ledger.Jobs[id].Final == nil {
			sim.violation("LOST %s has not ended", id)
		}
	}
}

// injectFault submits or cancels a job, replaces the dispatcher, or starts or ends a fault.
func (sim *simulation) injectFault(i, op int) {
	ids := sim.serverIDs()
	s := sim.servers[ids[sim.rng.IntN(len(ids))]]
	switch op {
	case 0, 1, 2:
		sim.submit(fmt.Sprintf("%016x", i), stepOf(1+sim.rng.IntN(6), 1000), stepOf(1+sim.rng.IntN(3), 500, 0))
	case 3:
		apart := stepOf(3, 800)
		apart.MaxPerServer = 1
		sim.submit(fmt.Sprintf("%016x", i), apart)
	case 4:
		sim.cancel(fmt.Sprintf("%016x", sim.rng.IntN(i+1)))
	case 5:
		sim.takeOver()
	case 6:
		s.cutOff = !s.cutOff
	case 7:
		s.up = false
	case 8:
		if !s.up {
			sim.restart(s)
		}
	case 9:
		sim.lossRate = 0.3 - sim.lossRate
	case 10:
		s.failing = !s.failing
	case 11:
		s.info.Ready = !s.info.Ready
	case 12:
		s.stalled = !s.stalled
	}
}

// TestJobCompletes guards against a lost job while there are no faults.
func TestJobCompletes(t *testing.T) {
	sim := newSimulation(1, 2)
	sim.submit("00000000000000aa", stepOf(3, 1000), stepOf(2, 1000, 0))
	sim.run(6 * time.Second)
	require.Empty(t, sim.violations)
	assert.Equal(t, jobs.Complete, sim.phase("00000000000000aa"))
	assert.Equal(t, 5, sim.starts)
}

// TestStepsWaitForPrecedingSteps guards against a step that starts while a task of the preceding step is still running.
func TestStepsWaitForPrecedingSteps(t *testing.T) {
	sim := newSimulation(2, 2)
	sim.submit("00000000000000aa", stepOf(2, 1000), stepOf(2, 1000, 0))
	sim.run(250 * time.Millisecond)
	assert.Equal(t, 2, sim.starts)
	sim.run(5 * time.Second)
	require.Empty(t, sim.violations)
	assert.Equal(t, 4, sim.starts)
}

// TestServerCapacityIsNeverExceeded guards against starts that exceed a server's capacity while runs are being stopped.
func TestServerCapacityIsNeverExceeded(t *testing.T) {
	sim := newSimulation(3, 1)
	sim.config.Workspaces = nil
	sim.core.SetConfiguration(sim.config)
	sim.submit("00000000000000aa", stepOf(12, 1500))
	sim.run(time.Second)
	sim.cancel("00000000000000aa")
	sim.submit("00000000000000ab", stepOf(12, 1500))
	sim.run(20 * time.Second)
	require.Empty(t, sim.violations)
	assert.Equal(t, jobs.Complete, sim.phase("00000000000000ab"))
}

// TestTakeoverWaitsForUnresponsiveServers guards against a second run of a task that still runs on a server which the new dispatcher can't reach.
func TestTakeoverWaitsForUnresponsiveServers(t *testing.T) {
	sim := newSimulation(4, 2)
	long := stepOf(2, 1000)
	long.LongRunning = true
	long.MaxPerServer = 1
	sim.submit("00000000000000aa", long)
	sim.run(time.Second)
	require.Equal(t, 2, sim.starts)
	sim.addServer("s9", jobs.Resources{CPU: 4000, MemoryMB: 4000})
	sim.servers["s0"].cutOff = true
	sim.takeOver()
	sim.run(3 * time.Second)
	assert.Equal(t, 2, sim.starts, "the task on the unreachable server may still run")
	sim.run(4 * time.Second)
	require.Empty(t, sim.violations)
	assert.Equal(t, 3, sim.starts, "its lease has expired")
}

// TestJobsSubmittedAfterTakeoverDoNotWait guards against a service that starts nothing because one server doesn't answer the new dispatcher.
func TestJobsSubmittedAfterTakeoverDoNotWait(t *testing.T) {
	sim := newSimulation(5, 2)
	sim.run(time.Second)
	sim.servers["s0"].cutOff = true
	sim.takeOver()
	sim.submit("00000000000000ab", stepOf(1, 1000))
	sim.run(500 * time.Millisecond)
	assert.Equal(t, 1, sim.starts)
}

// TestFailedRunCountsOnceAfterTakeover guards against a job that fails too early, because a server reports the end of a failed run to the new
// dispatcher although its predecessor has stored it.
func TestFailedRunCountsOnceAfterTakeover(t *testing.T) {
	sim := newSimulation(6, 1)
	sim.servers["s0"].failing = true
	sim.submit("00000000000000aa", stepOf(1, 1000))
	for sim.failedRuns["00000000000000aa.0.0.0"] == 0 {
		sim.step()
	}
	sim.servers["s0"].failing, sim.servers["s0"].cutOff = false, true // the acknowledgement doesn't arrive
	sim.run(10 * tick)
	sim.servers["s0"].cutOff = false
	sim.takeOver()
	sim.run(2 * tick)
	task := sim.core.findTask("00000000000000aa.0.0.0")
	require.NotNil(t, task)
	assert.Equal(t, sim.failedRuns["00000000000000aa.0.0.0"], len(task.failedAttempts))
}

// TestLostStopOrdersAreRepeated guards against runs of a cancelled job that continue because the stop order was lost.
func TestLostStopOrdersAreRepeated(t *testing.T) {
	sim := newSimulation(7, 1)
	long := stepOf(2, 1000)
	long.LongRunning = true
	sim.submit("00000000000000aa", long)
	sim.run(500 * time.Millisecond)
	sim.lossRate = 0.9
	sim.cancel("00000000000000aa")
	sim.run(12 * time.Second)
	require.Empty(t, sim.violations)
	assert.Empty(t, sim.servers["s0"].runs)
	assert.Equal(t, jobs.Cancelled, sim.phase("00000000000000aa"))
}

// TestDrainingServerGetsNoNewWork guards against new work for a server that is about to leave.
func TestDrainingServerGetsNoNewWork(t *testing.T) {
	sim := newSimulation(8, 1)
	sim.run(200 * time.Millisecond)
	sim.servers["s0"].info.Ready = false
	sim.submit("00000000000000aa", stepOf(1, 1000))
	sim.run(2 * time.Second)
	assert.Zero(t, sim.starts)
}

// TestEndsAreStoredBeforeTheyAreAcknowledged guards against a lost end: the server has discarded it after the acknowledgement, and the dispatcher
// that received it has failed before storing it.
func TestEndsAreStoredBeforeTheyAreAcknowledged(t *testing.T) {
	sim := newSimulation(9, 1)
	sim.submit("00000000000000aa", stepOf(1, 1000))
	sim.run(100 * time.Millisecond)
	for !sim.listedDone["00000000000000aa.0.0.0"] {
		sim.step()
	}
	sim.takeOver() // before the end is stored, or right after
	sim.run(3 * time.Second)
	require.Empty(t, sim.violations)
	assert.Equal(t, jobs.Complete, sim.phase("00000000000000aa"))
}

// TestGangStartsCompletelyOrNotAtAll guards against members of a gang that start and wait for others for which there is no capacity.
func TestGangStartsCompletelyOrNotAtAll(t *testing.T) {
	sim := newSimulation(10, 2)
	sim.config.Workspaces = nil
	sim.core.SetConfiguration(sim.config)
	gang := stepOf(3, 3000)
	gang.Gang = true
	sim.submit("00000000000000aa", gang)
	sim.run(time.Second)
	assert.Zero(t, sim.starts, "there is capacity for two of three")
	sim.addServer("s9", jobs.Resources{CPU: 4000, MemoryMB: 4000})
	sim.run(200 * time.Millisecond)
	assert.Equal(t, 3, sim.starts)
}

// TestGangIsSpread guards against members of a gang that start beside each other although their step allows one on a server: each was placed as if the
// others had not been.
func TestGangIsSpread(t *testing.T) {
	sim := newSimulation(18, 2)
	gang := stepOf(3, 500)
	gang.Gang, gang.MaxPerServer = true, 1
	sim.submit("00000000000000aa", gang)
	sim.run(time.Second)
	assert.Zero(t, sim.starts, "there are two servers for three members")
	sim.addServer("s9", jobs.Resources{CPU: 4000, MemoryMB: 4000})
	sim.run(200 * time.Millisecond)
	assert.Equal(t, 3, sim.starts)
	assert.Empty(t, sim.violations)
}

// TestUpkeepRespectsTheMissBudget guards against an upkeep that ends a task while another task of its step is unavailable.
func TestUpkeepRespectsTheMissBudget(t *testing.T) {
	sim := newSimulation(11, 3)
	long := stepOf(3, 1000)
	long.LongRunning, long.MaxPerServer, long.MissBudget = true, 1, 1
	sim.submit("00000000000000aa", long)
	sim.run(200 * time.Millisecond)
	assert.False(t, sim.core.MayTerminate("s0"), "the tasks aren't serving yet")
	sim.run(2 * time.Second)
	assert.True(t, sim.core.MayTerminate("s0"))
	sim.core.MarkTerminating("s1")
	assert.False(t, sim.core.MayTerminate("s0"), "a task is about to end with its server")
}

// TestFillerTasksSlowDown guards against filler tasks that keep a serving task on the same server over its target.
func TestFillerTasksSlowDown(t *testing.T) {
	sim := newSimulation(12, 1)
	serve := stepOf(1, 1000)
	serve.LongRunning, serve.TargetMS = true, 100
	fill := stepOf(1, 1000)
	fill.LongRunning, fill.Fills = true, true
	sim.submit("00000000000000aa", serve, fill)
	sim.run(time.Second)
	s := sim.core.servers["s0"]
	require.Len(t, s.runs, 2)
	load := func(ms float64) {
		sim.now += paceInterval
		sim.core.Advance(sim.now, sim.wall(), true)
		s.runs["00000000000000aa.0.0.0"].latencyMS = ms
		sim.core.controlPace(s)
	}
	load(150)
	assert.Zero(t, s.fillerPace, "over the target")
	load(30)
	assert.Equal(t, fillerPaceStep, s.fillerPace, "well below the target")
	load(90)
	assert.Equal(t, fillerPaceStep/2, s.fillerPace, "near the target")
}

// TestTasksOfAnUnresponsiveServerStartElsewhere guards against leases that are extended by unanswered renewals, so that the tasks of a failed server
// never start elsewhere.
func TestTasksOfAnUnresponsiveServerStartElsewhere(t *testing.T) {
	sim := newSimulation(13, 2)
	long := stepOf(2, 1000)
	long.LongRunning, long.MaxPerServer, long.MissBudget = true, 1, 1
	sim.submit("00000000000000aa", long)
	sim.run(2 * time.Second)
	sim.addServer("s9", jobs.Resources{CPU: 4000, MemoryMB: 4000})
	sim.servers["s0"].cutOff = true
	sim.run(time.Second + 700*time.Millisecond)
	assert.False(t, sim.core.MayTerminate("s1"), "it is unknown whether the other task is serving")
	sim.run(testLease)
	require.Empty(t, sim.violations)
	assert.Equal(t, 3, sim.starts)
}

// TestDispatcherWithPossibleSuccessorAbandonsNoRun guards against a second run that is started by a dispatcher without access to the store and to a
// server, while its successor renews that server's lease.
func TestDispatcherWithPossibleSuccessorAbandonsNoRun(t *testing.T) {
	sim := newSimulation(14, 2)
	sim.submit("00000000000000aa", stepOf(1, 1000))
	sim.run(100 * time.Millisecond)
	require.Equal(t, 1, sim.starts)
	sim.core.Advance(sim.now+10*testLease, sim.wall(), false)
	for _, id := range sim.serverIDs() {
		sim.core.RenewalUnanswered(id, sim.now-tick, tick)
	}
	assert.NotNil(t, sim.core.findTask("00000000000000aa.0.0.0").run)
}

// TestServerWithUnstoredEndsIsKept guards against a move or an upkeep of the machine whose server is the only one that can report a completed task to
// the next dispatcher.
func TestServerWithUnstoredEndsIsKept(t *testing.T) {
	sim := newSimulation(15, 1)
	sim.submit("00000000000000aa", stepOf(1, 1000))
	sim.run(100 * time.Millisecond)
	sim.storeDown = true
	for !sim.listedDone["00000000000000aa.0.0.0"] {
		sim.step()
	}
	empty, _ := sim.core.Idle("s0")
	assert.False(t, empty)
	assert.False(t, sim.core.MayTerminate("s0"))
}

// TestStalledTaskStartsElsewhere guards against a task that waits forever on a server which reports, but whose tasks make no progress.
func TestStalledTaskStartsElsewhere(t *testing.T) {
	sim := newSimulation(16, 2)
	sim.servers["s0"].stalled = true
	sim.submit("00000000000000aa", stepOf(6, 1000))
	sim.run(stallTimeout + 3*time.Second)
	require.Empty(t, sim.violations)
	assert.Equal(t, jobs.Complete, sim.phase("00000000000000aa"))
}

// TestOccurrencesStartOnSchedule guards against an occurrence that starts early, is skipped, or runs twice, also with a takeover between two
// occurrences.
func TestOccurrencesStartOnSchedule(t *testing.T) {
	sim := newSimulation(17, 1)
	first := sim.wall() + 1000
	spec := jobs.Spec{Text: "x", Steps: []jobs.Step{stepOf(1, 1000)}, FirstMS: first, EveryMS: 1500, Repeated: 3}
	s := jobs.Submission{ID: "00000000000000aa", Route: "q", Service: "pool", Workspace: "w", MaxAttempts: 3, SlackFactor: 1.6, ReceivedMS: sim.wall(), Spec: spec}
	sim.specs[s.ID] = s
	sim.apply([]ledger.Record{ledger.SubmissionRecord(s)})
	for k := range spec.Repeated {
		due := time.Duration(first+int64(k)*spec.EveryMS) * time.Millisecond
		sim.run(due - sim.now - 2*tick)
		assert.Equal(t, k, sim.starts, "before the time of occurrence %d", k)
		sim.run(200 * time.Millisecond)
		assert.Equal(t, k+1, sim.starts)
		if k == 1 {
			sim.takeOver()
		}
	}
	sim.run(5 * time.Second)
	require.Empty(t, sim.violations)
	assert.Equal(t, 3, sim.starts)
	assert.Equal(t, jobs.Complete, sim.phase(s.ID))
}

// TestOpenTasksOfAScheduledJobAreBounded guards against a job that exhausts the memory of each node that becomes the dispatcher, one after another:
// it has many tasks and repeats thousands of times without a pause. FuzzTakeover found this as a hang.
func TestOpenTasksOfAScheduledJobAreBounded(t *testing.T) {
	sim := newSimulation(9, 1)
	spec := jobs.Spec{Text: "x", Steps: []jobs.Step{stepOf(1000, 10)}, FirstMS: 1, Repeated: 5000}
	require.NoError(t, spec.Validate())
	s := jobs.Submission{ID: oldJob, Route: "q", Service: "pool", Workspace: "w", MaxAttempts: 3, SlackFactor: 1.6, ReceivedMS: sim.wall(), Spec: spec}
	sim.apply([]ledger.Record{ledger.SubmissionRecord(s)})
	sim.core.Schedule()
	assert.LessOrEqual(t, sim.core.jobs[oldJob].openTasks(), maxOpenTasks)
	assert.Equal(t, maxOpenTasks/1000, sim.core.jobs[oldJob].nextOccurrence)
	spec.Repeated = 100_000
	assert.Error(t, spec.Validate(), "its progress is too large for a record")
}
