package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
)

// serverWithEnds returns a simulation whose only server has run a job, and a renewal that acknowledges its ends and that the server hasn't answered.
func serverWithEnds(t *testing.T, seed uint64) (*simulation, Renewal) {
	t.Helper()
	sim := newSimulation(seed, 1)
	sim.submit(oldJob, stepOf(3, 500))
	sim.run(3 * time.Second)
	require.Equal(t, jobs.Complete, sim.phase(oldJob))
	r, _ := sim.core.NextRenewal("s0")
	require.Equal(t, int64(3), r.AckCursor)
	return sim, r
}

// TestLateAcknowledgementEndsNoRun guards against a task that is done and starts again, because a renewal for the former incarnation of its server, which
// the present one carries out late, makes that forget an end that nobody has read (review/11).
func TestLateAcknowledgementEndsNoRun(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		sim, late := serverWithEnds(t, 110)
		s := sim.servers["s0"]
		sim.restart(s)
		sim.submit(newJob, stepOf(1, 500))
		sim.run(300 * time.Millisecond)
		require.Len(t, s.runs, 1)
		s.cutOff = true // nobody reads the end
		for len(s.runs) > 0 {
			sim.step()
		}
		if takeover {
			sim.takeOver()
		}
		sim.lateCalls = append(sim.lateCalls, &lateCall{at: sim.now, order: Order{Server: late.Server}, renewal: late, received: late.Server.BornMS})
		s.cutOff = false
		sim.carryOutLateCalls()
		sim.run(3 * time.Second)
		assert.Empty(t, sim.violations)
		assert.Equal(t, 4, sim.starts, "no task has run twice")
		assert.Equal(t, jobs.Complete, sim.phase(newJob))
	}
}

// TestRestartedServerGetsWorkOnceItIsFenced guards against work, leases and acknowledgements for a restarted server that doesn't refuse the calls for its
// former incarnation yet, and against a server that waits for longer.
func TestRestartedServerGetsWorkOnceItIsFenced(t *testing.T) {
	sim, _ := serverWithEnds(t, 111)
	s := sim.servers["s0"]
	former := s.fence
	sim.storeDown = true
	sim.restart(s)
	sim.submit(newJob, stepOf(1, 500))
	sim.run(2 * time.Second)
	r, _ := sim.core.NextRenewal("s0")
	assert.Zero(t, r.LeaseUntil)
	assert.Zero(t, r.AckCursor)
	assert.Equal(t, former, s.fence, "no epoch is claimed while the store is down")
	assert.Empty(t, s.runs)
	sim.storeDown = false
	sim.run(300 * time.Millisecond)
	assert.Len(t, s.runs, 1)
	assert.Equal(t, former+1, s.fence)
	assert.Equal(t, former+1, sim.ledger.Dispatcher.Epoch)
}

// TestServersThatRestartTogetherNeedOneEpoch guards against a claim for each of many servers that restart at once, and against a higher token for servers
// that haven't restarted, which would refuse the orders underway to them.
func TestServersThatRestartTogetherNeedOneEpoch(t *testing.T) {
	sim := newSimulation(112, 5)
	sim.run(time.Second)
	first := sim.ledger.Dispatcher.Epoch
	for _, id := range []string{"s0", "s1", "s2"} {
		sim.restart(sim.servers[id])
	}
	sim.run(time.Second)
	assert.Equal(t, first+1, sim.ledger.Dispatcher.Epoch)
	for id, s := range sim.servers {
		assert.Equal(t, id <= "s2", s.fence == first+1, id)
	}
	sim.restart(sim.servers["s4"])
	sim.run(time.Second)
	assert.Equal(t, first+1, sim.ledger.Dispatcher.Epoch, "its former incarnation has seen calls of the first epoch only")
	assert.Equal(t, first+1, sim.servers["s4"].fence)
	sim.restart(sim.servers["s0"])
	sim.run(time.Second)
	assert.Equal(t, first+2, sim.ledger.Dispatcher.Epoch)
	assert.Equal(t, first+2, sim.servers["s0"].fence)
}

// TestRefusedTokenIsReplaced guards against a dispatcher that takes itself for replaced, or leaves a server without calls, because a relay has learned of a
// newer token of the same dispatcher from another server.
func TestRefusedTokenIsReplaced(t *testing.T) {
	sim := newSimulation(113, 2)
	sim.run(time.Second)
	sim.restart(sim.servers["s0"])
	sim.run(time.Second)
	before, _ := sim.core.NextLook("s1")
	assert.True(t, sim.core.TokenRefused("s1", before.Fence))
	after, _ := sim.core.NextLook("s1")
	assert.Greater(t, after.Fence, before.Fence)
	assert.False(t, sim.core.TokenRefused("s1", after.Fence), "a successor has used a higher one")
}

// TestReturningServerNeedsAHigherToken guards against late calls for a server that was removed and comes back as another incarnation.
func TestReturningServerNeedsAHigherToken(t *testing.T) {
	sim, late := serverWithEnds(t, 114)
	s := sim.servers["s0"]
	s.up = false
	sim.run(6 * time.Second)
	require.Nil(t, sim.core.servers["s0"])
	sim.restart(s)
	sim.run(500 * time.Millisecond)
	assert.Greater(t, s.fence, late.Fence)
	assert.True(t, sim.core.schedulable(sim.core.servers["s0"]))
}
