package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
)

// service submits a long-running job with two tasks of which one may be away, and waits until both are serving.
func (sim *simulation) service(t *testing.T) (first, second *run) {
	t.Helper()
	step := stepOf(2, 500)
	step.LongRunning, step.MaxPerServer, step.MissBudget = true, 1, 1
	sim.submit(oldJob, step)
	sim.run(3 * time.Second)
	tasks := sim.core.findTask(oldJob + ".0.0.0").step.tasks
	require.NotNil(t, tasks[0].run)
	require.NotNil(t, tasks[1].run)
	return tasks[0].run, tasks[1].run
}

// TestLateStartIsKept guards against a long-running task that is stopped once it serves, while too many others of its step are away, because its start had no
// answer and was carried out late (review/14).
func TestLateStartIsKept(t *testing.T) {
	sim := newSimulation(120, 2)
	sim.run(time.Second)
	s := sim.loseStart(t, oldJob, longRunningStep())
	late := sim.lateCalls[0]
	sim.lateCalls = nil
	sim.lossRate = 1 // the stop is lost too
	sim.step()
	sim.step()
	sim.lossRate, sim.lateCalls = 0, nil
	require.Equal(t, jobs.Started, sim.execute(late.order))
	sim.run(5 * time.Second)
	assert.Equal(t, 100, s.runs[oldJob+".0.0.0"].percent)
	assert.Equal(t, runActive, sim.onlyRun(t, oldJob).state)
	assert.Equal(t, 1, sim.starts)
	assert.Empty(t, sim.violations)
}

// TestRelocationIsRepeatedWithinTheBudget guards against a long-running task that is relocated while the other one of its step is away, because the first order to stop
// it was lost and is repeated.
func TestRelocationIsRepeatedWithinTheBudget(t *testing.T) {
	sim := newSimulation(121, 3)
	sim.run(time.Second)
	first, second := sim.service(t)
	sim.core.relocate(first)
	require.NotEmpty(t, sim.core.TakeOrders(), "and the stop is lost")
	sim.servers[second.server.info.ID].cutOff = true
	sim.run(2 * time.Second)
	assert.Equal(t, 2, sim.starts)
	sim.servers[second.server.info.ID].cutOff = false
	sim.run(2 * time.Second)
	assert.Equal(t, 3, sim.starts, "it is relocated once the other one serves")
}

// TestRelocationIsAskedForWhenItIsSent guards against a stop that is sent long after it was decided, by a process that was paused, when the budget is used up.
func TestRelocationIsAskedForWhenItIsSent(t *testing.T) {
	sim := newSimulation(122, 3)
	sim.run(time.Second)
	first, _ := sim.service(t)
	sim.core.relocate(first)
	assert.True(t, sim.core.MaySendStop(first.server.info.ID, oldJob+".0.0.0", first.attempt))
	sim.now += 5 * time.Second
	sim.core.Advance(sim.now, sim.wall(), true)
	assert.False(t, sim.core.MaySendStop(first.server.info.ID, oldJob+".0.0.0", first.attempt), "nothing has been heard of the other task")
	assert.Equal(t, runActive, first.state)
	sim.core.TakeOrders()
	sim.run(time.Second)
	assert.Equal(t, runActive, first.state)
}

// TestOnlyEmptyMachinesMove guards against a move that ends tasks which have begun since it was decided.
func TestOnlyEmptyMachinesMove(t *testing.T) {
	sim := newSimulation(123, 1)
	sim.run(time.Second)
	assert.True(t, sim.core.MayMove("s0"))
	assert.True(t, sim.core.MayMove("unknown"))
	sim.submit(oldJob, stepOf(1, 500))
	sim.run(300 * time.Millisecond)
	assert.False(t, sim.core.MayMove("s0"))
	sim.takeOver()
	assert.False(t, sim.core.MayMove("s0"), "a former dispatcher may have started tasks there")
}
