package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The tests of this file fail. KNOWN-RED.txt lists them, and CI passes over them.

// TestFormerLeasesAreAwaitedBySuccessorsWhoseClockIsAhead guards against a successor whose time of day is ahead of its predecessor's and that therefore takes leases from calls for
// a former incarnation for over.
func TestFormerLeasesAreAwaitedBySuccessorsWhoseClockIsAhead(t *testing.T) {
	sim := newSimulation(85, 2)
	sim.run(20 * time.Second)
	s := sim.loseStart(t, oldJob, lastingStep(300*time.Millisecond))
	sim.restart(s)
	other := sim.servers["s1"]
	if other == s {
		other = sim.servers["s0"]
	}
	other.info.Ready = false
	sim.submit(newJob, lastingStep(20*time.Second))
	sim.run(5 * time.Second)
	require.Empty(t, sim.lateCalls)
	require.Greater(t, s.lease, s.clock(sim.now)+testLease.Milliseconds())
	require.NotNil(t, s.runs[newJob+".0.0.0"])
	other.info.Ready = true
	sim.run(100 * time.Millisecond)
	s.cutOff = true
	sim.epoch++
	sim.core = New(Params{Epoch: sim.epoch, Lease: testLease, MaxLease: testMaxLease, PredecessorsUntil: sim.now + testSilence}, sim.ledger, sim.config, sim.now, sim.wall()+30_000)
	sim.run(12 * time.Second)
	assert.Empty(t, sim.violations)
}

// TestFormerLeasesAreAwaitedAfterARemovalAndATakeover guards against a successor that doesn't know that a server which has come back had a former incarnation: its
// predecessor had removed it.
func TestFormerLeasesAreAwaitedAfterARemovalAndATakeover(t *testing.T) {
	sim := newSimulation(86, 2)
	sim.run(20 * time.Second)
	s := sim.loseStart(t, oldJob, lastingStep(300*time.Millisecond))
	late := sim.lateCalls[0]
	sim.lateCalls = nil
	s.up = false
	sim.run(6 * time.Second)
	require.Nil(t, sim.core.servers[s.info.ID])
	sim.takeOver()
	sim.run(500 * time.Millisecond)
	sim.restart(s)
	sim.execute(late.epoch, late.order) // 6.5 s late, before the new dispatcher has called the server
	other := sim.servers["s1"]
	if other == s {
		other = sim.servers["s0"]
	}
	sim.run(500 * time.Millisecond)
	other.info.Ready = false
	sim.violations = nil
	sim.submit(newJob, lastingStep(20*time.Second))
	sim.run(time.Second)
	require.NotNil(t, s.runs[newJob+".0.0.0"])
	other.info.Ready = true
	sim.run(100 * time.Millisecond)
	s.cutOff = true
	sim.run(12 * time.Second)
	assert.Empty(t, sim.violations)
}
