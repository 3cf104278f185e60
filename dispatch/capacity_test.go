package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"example.org/comfreyrouter/jobs"
)

// TestShrinkingServerIsNotOverfilled guards against starts on a server whose capacity has shrunk while its runs, and those that are being stopped, still
// use more than it has, and against a server that gets no work after its capacity has grown again. The simulation checks each start (rule LIMIT).
func TestShrinkingServerIsNotOverfilled(t *testing.T) {
	for seed := range uint64(8) {
		sim := newSimulation(300+seed, 4)
		sim.config.Workspaces[0].Limit = jobs.Resources{}
		sim.core.SetConfiguration(sim.config)
		sim.run(300 * time.Millisecond)
		for i := range 80 {
			id := fmt.Sprintf("%016x", 0x1000+i)
			sim.submit(id, stepOf(1+sim.rng.IntN(4), 1000))
			if sim.rng.IntN(6) == 0 {
				sim.cancel(id)
			}
			s := sim.servers[sim.serverIDs()[sim.rng.IntN(4)]]
			s.info.Capacity = jobs.Resources{CPU: int64(500 + sim.rng.IntN(4000)), MemoryMB: 4000}
			if sim.rng.IntN(20) == 0 {
				sim.takeOver()
			}
			sim.run(200 * time.Millisecond)
		}
		for _, s := range sim.servers {
			s.info.Capacity = jobs.Resources{CPU: 4000, MemoryMB: 4000}
		}
		sim.run(settleTime)
		sim.checkAllEnded()
		assert.Empty(t, sim.violations, "seed %d", 300+seed)
	}
}
