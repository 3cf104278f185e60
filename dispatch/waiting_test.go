package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
)

// TestWaitingTasksAreCounted guards against tasks that never start because their step seems to have none that waits, after failures, lost servers and
// changes of the dispatcher.
func TestWaitingTasksAreCounted(t *testing.T) {
	for seed := range uint64(8) {
		sim := newSimulation(seed, 3)
		sim.run(300 * time.Millisecond)
		for i := range 60 {
			sim.injectFault(i, sim.rng.IntN(13))
			for range 20 {
				sim.step()
				sim.checkWaitingCounts(t)
			}
		}
	}
}

func (sim *simulation) checkWaitingCounts(t *testing.T) {
	t.Helper()
	for id, j := range sim.core.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				waiting := 0
				for _, task := range s.tasks {
					if task.run == nil && !task.done {
						waiting++
					}
				}
				require.Equal(t, waiting, s.waiting, "job %s, step %d", id, s.index)
			}
		}
	}
}

// TestRefusedStartsLeaveAJobPending guards against a job that counts as begun, so that its queue doesn't list it as pending, although all of its starts were
// refused (review/10).
func TestRefusedStartsLeaveAJobPending(t *testing.T) {
	sim := newSimulation(91, 1)
	sim.servers["s0"].refusing = true
	sim.submit(oldJob, stepOf(1, 1000))
	sim.run(time.Second)
	require.NotZero(t, sim.core.jobs[oldJob].firstStart, "a start was decided")
	assert.Equal(t, jobs.Queued, sim.phase(oldJob))
	sim.servers["s0"].refusing = false
	sim.run(settleTime)
	assert.Equal(t, jobs.Complete, sim.phase(oldJob))
}
