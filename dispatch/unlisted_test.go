package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestNewDispatcherGivesNoWorkToUnlistedServers guards against new work for a server that has left the fleet, after a change of the dispatcher: the
// ledger still names the server, and it answers, but the platform no longer lists it.
func TestNewDispatcherGivesNoWorkToUnlistedServers(t *testing.T) {
	sim := newSimulation(51, 2)
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	left := sim.onlyRun(t, oldJob).server.info.ID
	sim.takeOver()
	for range 50 {
		for id, s := range sim.servers {
			if id != left {
				sim.core.ServerListed(s.info)
			}
			sim.core.Advance(sim.now, sim.wall(), true)
			sim.renew(id)
		}
		sim.core.Schedule()
		sim.send(sim.core)
		sim.store()
		sim.now += tick
	}
	require.Contains(t, sim.ledger.Servers, left)
	sim.submit(newJob, stepOf(6, 1000))
	for range 50 {
		sim.core.Advance(sim.now, sim.wall(), true)
		for id := range sim.servers {
			sim.renew(id)
		}
		sim.core.Schedule()
		sim.send(sim.core)
		sim.store()
		sim.now += tick
	}
	assert.Len(t, sim.servers[left].runs, 1, "its run continues, and it gets no new work")
	assert.Empty(t, sim.violations)
}

// TestServersOfAMachineAreIndexed guards against a takeover that compares each listed server with each other one, and against an index that loses a
// server whose entry names another machine.
func TestServersOfAMachineAreIndexed(t *testing.T) {
	sim := newSimulation(61, 3)
	sim.run(300 * time.Millisecond)
	c := sim.core
	moved := c.servers["s0"].info
	moved.Machine = c.servers["s1"].info.Machine
	moved.BornMS = c.servers["s1"].bornMS + 1
	c.ServerListed(moved)
	assert.Nil(t, c.servers["s1"], "the newer server has replaced it")
	indexed := 0
	for machine, servers := range c.byMachine {
		for _, s := range servers {
			assert.Equal(t, machine, s.info.Machine)
			assert.Same(t, s, c.servers[s.info.ID])
			indexed++
		}
	}
	assert.Equal(t, len(c.servers), indexed)
}
