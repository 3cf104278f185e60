package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
