package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/jobs"
)

// maxClockStep is the longest time by which the time of day of a simulated server goes back.
const maxClockStep = 50 * time.Second

// setClockBack makes the present incarnation state an earlier start, one that no other incarnation states.
func (s *fakeServer) setClockBack(step time.Duration) {
	for s.info.BornMS -= step.Milliseconds(); s.borns[s.info.BornMS]; {
		s.info.BornMS--
	}
	s.borns[s.info.BornMS] = true
}

// TestModelClocksSetBack guards against what TestModelTakeovers guards against while the time of day of servers goes back before they restart under their
// ids: a later incarnation may state an earlier start than the former one, whose entry is still listed.
func TestModelClocksSetBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 6).Draw(rt, "servers"))
		m.clocksSetBack = true
		m.playTakeovers(rt)
	})
}

// TestServerThatStatesAnEarlierStartIsNotLost guards against a server that gets no more work after its time of day has gone back and it has restarted, and
// against runs of its former incarnation for which the dispatcher, or the next one, waits for ever.
func TestServerThatStatesAnEarlierStartIsNotLost(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover=%v", takeover), func(t *testing.T) {
			sim := newSimulation(71, 1)
			sim.submit(oldJob, longRunningStep())
			sim.run(time.Second)
			require.Equal(t, 1, sim.starts)
			s := sim.servers["s0"]
			sim.restart(s)
			s.setClockBack(10 * time.Second)
			if takeover {
				sim.takeOver()
			}
			sim.run(settleTime)
			assert.Equal(t, 2, sim.starts)
			assert.Len(t, s.runs, 1)
			assert.Empty(t, sim.violations)
		})
	}
}

// TestOutdatedEntriesAreNoRestart guards against a second run of a task because an entry or a report of a former incarnation, which stated a later start,
// counts as another restart.
func TestOutdatedEntriesAreNoRestart(t *testing.T) {
	sim := newSimulation(72, 1)
	sim.run(time.Second)
	s := sim.servers["s0"]
	former := s.info
	sim.restart(s)
	s.setClockBack(10 * time.Second)
	s.listedFrom = sim.now + time.Second
	sim.submit(oldJob, longRunningStep())
	sim.run(500 * time.Millisecond)
	assert.Zero(t, sim.starts, "the present incarnation isn't listed yet")
	sim.run(time.Second)
	r := sim.onlyRun(t, oldJob)
	sim.core.ServerListed(former)
	sim.core.ReportReceived(Renewal{Server: jobs.Server{ID: "s0"}}, sim.now, jobs.Report{ClockMS: 1, BornMS: former.BornMS})
	sim.core.ServerRestarted(former, s.info.BornMS)
	assert.Same(t, r, sim.onlyRun(t, oldJob))
	assert.Equal(t, s.info.BornMS, sim.core.servers["s0"].bornMS)
	sim.run(settleTime)
	assert.Equal(t, 1, sim.starts)
	assert.Empty(t, sim.violations)
}

// TestAnswersOutweighEntries guards against a server that gets no more work because an entry that isn't its own has stated a later start.
func TestAnswersOutweighEntries(t *testing.T) {
	sim := newSimulation(73, 1)
	sim.run(time.Second)
	other := sim.servers["s0"].info
	other.BornMS += 1000
	sim.core.ServerListed(other)
	sim.run(time.Second)
	sim.core.ServerListed(other)
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	sim.core.ServerListed(other)
	sim.run(time.Second)
	assert.Equal(t, 1, sim.starts)
	assert.Empty(t, sim.violations)
}

// TestFormerIncarnationsAreBounded guards against memory that grows with each restart of a server.
func TestFormerIncarnationsAreBounded(t *testing.T) {
	sim := newSimulation(74, 1)
	s := sim.servers["s0"]
	for range 4 * maxFormer {
		sim.restart(s)
		sim.run(2 * tick)
	}
	assert.Len(t, sim.core.servers["s0"].former, maxFormer)
}

// TestEntryOfAPreviousServerEndsNoRun guards against a second run of a task because an outdated entry of the previous server of a machine, whose time of day has gone back,
// counts as that of its present one.
func TestEntryOfAPreviousServerEndsNoRun(t *testing.T) {
	sim := newSimulation(88, 2)
	sim.run(time.Second)
	previous := sim.servers["s0"]
	next := sim.addServer("s9", previous.info.Capacity)
	next.info.Machine, next.info.BornMS = previous.info.Machine, previous.info.BornMS-10_000
	previous.up = false
	sim.servers["s1"].info.Ready = false
	sim.submit(oldJob, longRunningStep())
	sim.run(2 * time.Second)
	require.Len(t, next.runs, 1)
	sim.servers["s1"].info.Ready = true
	sim.run(200 * time.Millisecond)
	sim.core.ServerListed(previous.info) // a complete reading of the list
	sim.run(3 * time.Second)
	assert.Empty(t, sim.violations)
	assert.Equal(t, 1, sim.starts)
}

// TestEntryOfARemovedServerEndsNoRun guards against the same second run if the previous server was removed meanwhile.
func TestEntryOfARemovedServerEndsNoRun(t *testing.T) {
	sim := newSimulation(95, 2)
	sim.run(time.Second)
	previous := sim.servers["s0"]
	next := sim.addServer("s9", previous.info.Capacity)
	next.info.Machine, next.info.BornMS = previous.info.Machine, previous.info.BornMS-10_000
	previous.up = false
	sim.servers["s1"].info.Ready = false
	sim.submit(oldJob, longRunningStep())
	sim.run(8 * time.Second)
	require.Nil(t, sim.core.servers["s0"])
	require.Len(t, next.runs, 1)
	sim.servers["s1"].info.Ready = true
	sim.run(200 * time.Millisecond)
	sim.core.ServerListed(previous.info)
	sim.run(3 * time.Second)
	assert.Empty(t, sim.violations)
	assert.Equal(t, 1, sim.starts)
}
