package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/evacuation"
	"example.org/comfreyrouter/jobs"
)

// newDataCentres returns a fleet whose servers are in data centres z0, z1 and so on by turns.
func newDataCentres(seed uint64, servers, dataCentres int) *simulation {
	sim := newSimulation(seed, servers)
	sim.config.Workspaces[0].Limit = jobs.Resources{}
	sim.core.SetConfiguration(sim.config)
	for i := range servers {
		sim.servers[fmt.Sprintf("s%d", i)].info.DataCentre = fmt.Sprintf("z%d", i%dataCentres)
	}
	return sim
}

// runsIn counts the runs in a data centre.
func (sim *simulation) runsIn(dataCentre string) int {
	n := 0
	for _, s := range sim.servers {
		if s.info.DataCentre == dataCentre {
			n += len(s.runs)
		}
	}
	return n
}

// countStarts counts the starts in each data centre from now on.
func (sim *simulation) countStarts() map[string]int {
	starts := map[string]int{}
	sim.onStart = func(s *fakeServer, _ string) { starts[s.info.DataCentre]++ }
	return starts
}

// submitEvery100ms submits short jobs, one each 100 ms.
func (sim *simulation) submitEvery100ms(from, count int) {
	for i := range count {
		sim.submit(fmt.Sprintf("%016x", 0xe0000+from+i), stepOf(2, 1000))
		sim.run(100 * time.Millisecond)
	}
}

// TestNothingStartsInAnEvacuatedDataCentre guards against starts there: by this dispatcher, by its successor, of the members of a gang, of long-running
// tasks that are started again. What runs there finishes, and jobs are served elsewhere.
func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	sim := newDataCentres(91, 6, 3)
	sim.submitEvery100ms(0, 10)
	require.NotZero(t, sim.runsIn("z1"))
	state := evacuation.State{}.Request("z1").Request("nowhere")
	sim.core.SetEvacuated(state, false)
	sim.core.ServerListComplete()
	assert.Equal(t, []string{"nowhere"}, sim.core.EvacuatedWithoutServers())
	starts := sim.countStarts()
	gang := stepOf(4, 2500)
	gang.Gang = true
	sim.submit(newJob, gang)
	sim.submitEvery100ms(100, 10)
	sim.takeOver()
	sim.core.SetEvacuated(state, false)
	sim.submitEvery100ms(200, 10)
	sim.run(settleTime)
	assert.Zero(t, starts["z1"])
	assert.Equal(t, jobs.Complete, sim.phase(newJob))
	sim.checkAllEnded()
	assert.Empty(t, sim.violations)
	sim.core.SetEvacuated(state.Withdraw("z1", sim.now), false)
	sim.run(10 * time.Second)
	sim.submitEvery100ms(300, 30)
	assert.NotZero(t, starts["z1"], "taken back")
}

// TestEvacuationOfAllDataCentresHoldsJobs guards against starts, and against lost jobs, while every data centre is evacuated.
func TestEvacuationOfAllDataCentresHoldsJobs(t *testing.T) {
	sim := newDataCentres(92, 4, 2)
	sim.run(time.Second)
	state := evacuation.State{}.Request("z0").Request("z1")
	sim.core.SetEvacuated(state, false)
	sim.submit(oldJob, stepOf(2, 1000))
	sim.run(5 * time.Second)
	assert.Zero(t, sim.starts)
	assert.Zero(t, sim.core.ServiceLoads()["pool"].Servers, "admission counts no capacity there")
	sim.core.SetEvacuated(state.Withdraw("z0", sim.now), false)
	sim.run(settleTime)
	assert.Equal(t, jobs.Complete, sim.phase(oldJob))
}

// TestHeldStartsWait guards against starts while the operators' requests aren't known well enough, and against servers that admission doesn't count then.
func TestHeldStartsWait(t *testing.T) {
	sim := newDataCentres(93, 2, 2)
	sim.run(time.Second)
	sim.core.SetEvacuated(evacuation.State{}, true)
	sim.submit(oldJob, stepOf(2, 1000))
	sim.run(2 * time.Second)
	assert.Zero(t, sim.starts)
	assert.InDelta(t, 2, sim.core.ServiceLoads()["pool"].Servers, 0)
	sim.core.SetEvacuated(evacuation.State{}, false)
	sim.run(settleTime)
	assert.Equal(t, jobs.Complete, sim.phase(oldJob))
}

// TestUnsentStartIsNoFailure guards against a server that is held back, or a task that fails, because a node didn't send a start to it.
func TestUnsentStartIsNoFailure(t *testing.T) {
	for _, result := range []jobs.StartResult{jobs.StartEvacuated, jobs.StartViewOutdated} {
		sim := newDataCentres(94, 1, 1)
		sim.run(time.Second)
		sim.submit(oldJob, stepOf(1, 1000))
		for range 2 * failuresToBackOff {
			sim.core.Advance(sim.now, sim.wall(), true)
			sim.core.Schedule()
			for _, o := range sim.core.TakeOrders() {
				sim.core.StartAnswered(o.Server, o.Start.Task.String(), o.Start.Attempt, result)
			}
			sim.store()
			sim.now += 100 * time.Millisecond
		}
		assert.Zero(t, sim.core.servers["s0"].consecutiveFailures)
		sim.run(settleTime)
		assert.Equal(t, jobs.Complete, sim.phase(oldJob))
	}
}

// TestLongRunningTasksLeaveWithinTheirBudget guards against long-running tasks that stay in an evacuated data centre although there is a place elsewhere,
// against more of a step that are away at once than it tolerates, and against stops where there is no place.
func TestLongRunningTasksLeaveWithinTheirBudget(t *testing.T) {
	sim := newDataCentres(95, 6, 2)
	step := longRunningStep()
	step.Count, step.MissBudget, step.Need = 6, 2, jobs.Resources{CPU: 1500}
	step.MaxPerServer = 2
	sim.submit(oldJob, step)
	sim.run(5 * time.Second)
	require.NotZero(t, sim.runsIn("z0"))
	sim.core.SetEvacuated(evacuation.State{}.Request("z0").Request("z1"), false)
	sim.core.RelocateEvacuated()
	assert.Empty(t, sim.core.TakeOrders(), "no place elsewhere")
	sim.core.SetEvacuated(evacuation.State{}.Request("z0"), false)
	sim.run(relocationInterval)
	sim.core.Advance(sim.now, sim.wall(), false)
	sim.core.RelocateEvacuated()
	assert.Empty(t, sim.core.TakeOrders(), "another dispatcher may relocate tasks too")
	sim.takeOver()
	sim.core.SetEvacuated(evacuation.State{}.Request("z0"), false)
	for range int(relocationHandover/tick) - 1 {
		sim.step()
		sim.core.RelocateEvacuated()
		require.Empty(t, sim.core.TakeOrders(), "the predecessor's stops may be under way")
	}
	for range 600 {
		sim.core.RelocateEvacuated()
		sim.step()
		away := step.Count
		for _, s := range sim.servers {
			away -= len(s.runs)
		}
		require.LessOrEqual(t, away, step.MissBudget)
	}
	assert.Zero(t, sim.runsIn("z0"))
	assert.Equal(t, 6, sim.runsIn("z1"))
	assert.Empty(t, sim.violations)
}
