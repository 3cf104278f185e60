package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
)

// onlyRun returns the run of a job with a single task.
func (sim *simulation) onlyRun(t *testing.T, job string) *run {
	t.Helper()
	r := sim.core.jobs[job].occurrences[0].steps[0].tasks[0].run
	require.NotNil(t, r)
	return r
}

// TestPausedDispatcherRenewsAgainBeforeAbandoningRuns guards against repeated work after a pause or an overload of the dispatcher: its renewals seem
// unanswered for longer than a lease, and when it resumes, the first thing that it notices is that they are overdue. In the scenario trouble-1 of the
// small twin a task was started again 4.3 s after its end, which its server had reported in the meantime.
func TestPausedDispatcherRenewsAgainBeforeAbandoningRuns(t *testing.T) {
	sim := newSimulation(41, 2)
	sim.submit(oldJob, stepOf(1, 1000))
	sim.run(300 * time.Millisecond)
	r := sim.onlyRun(t, oldJob)
	sent := sim.now
	for pause := sim.now + 6*time.Second; sim.now < pause; sim.now += tick {
		for _, s := range sim.servers {
			sim.advanceTasks(s)
		}
	}
	sim.core.Advance(sim.now, sim.wall(), true)
	sim.core.RenewalUnanswered(r.server.info.ID, sent, time.Second)
	sim.core.Schedule()
	sim.send(sim.core)
	assert.Equal(t, 1, sim.starts, "nothing starts before another renewal")
	sim.run(time.Second)
	assert.Equal(t, 1, sim.starts)
	assert.Equal(t, jobs.Complete, sim.phase(oldJob))
}

// TestRunsAreAbandonedOnlyAfterARenewalPastTheirLease guards against a lost answer that makes the dispatcher abandon a run: the last renewal was sent
// before the lease expired, and the run may have succeeded since.
func TestRunsAreAbandonedOnlyAfterARenewalPastTheirLease(t *testing.T) {
	sim := newSimulation(42, 2)
	sim.submit(oldJob, stepOf(1, 1000))
	sim.run(300 * time.Millisecond)
	r := sim.onlyRun(t, oldJob)
	expiry := r.server.leasesExpireAt
	sim.core.Advance(expiry+500*time.Millisecond, sim.wall(), true)
	sim.core.RenewalUnanswered(r.server.info.ID, expiry-100*time.Millisecond, 600*time.Millisecond)
	assert.Same(t, r, sim.onlyRun(t, oldJob))
	sim.core.Advance(expiry+time.Second, sim.wall(), true)
	sim.core.RenewalUnanswered(r.server.info.ID, expiry+100*time.Millisecond, 900*time.Millisecond)
	assert.Nil(t, sim.core.jobs[oldJob].occurrences[0].steps[0].tasks[0].run, "a renewal after the expiry was unanswered")
}

// TestDelayedReportStopsNoRun guards against stopping a healthy run for lack of progress when its report is seconds old.
func TestDelayedReportStopsNoRun(t *testing.T) {
	sim := newSimulation(43, 1)
	sim.submit(oldJob, stepOf(1, 1000))
	sim.run(200 * time.Millisecond)
	r := sim.onlyRun(t, oldJob)
	report := func(clockMS int64, percent int) {
		sim.core.ReportReceived(Renewal{Server: jobs.Server{ID: "s0"}}, sim.now, jobs.Report{ClockMS: clockMS, BornMS: r.server.bornMS, Active: []jobs.RunState{
			{Task: r.task.id.String(), Attempt: r.attempt, Percent: percent},
		}})
	}
	clock := r.server.clockMS
	report(clock+100, 50)
	sim.core.Advance(sim.now+stallTimeout+time.Second, sim.wall(), true)
	report(clock+200, 50)
	assert.Equal(t, runActive, r.state)
	report(clock+200+2*stallTimeout.Milliseconds(), 50)
	assert.Equal(t, runStopping, r.state, "a recent report shows no progress")
}

// TestLostRenewalsHideEndsBriefly replays a peak of short tasks while a twentieth of all messages to the servers stays unanswered. A lost renewal hides
// what ends on its server, so the steps that wait for it start late; users give each job a target latency of 600 ms beyond its work, and a single loss
// must not use that up. In scenario trouble-1 of chirigue-sched-grown every second job lost three seconds in this way.
func TestLostRenewalsHideEndsBriefly(t *testing.T) {
	const targetLatency = 600 * time.Millisecond
	sim := newSimulation(43, 8)
	sim.longPolls = map[string]*longPoll{}
	sim.config.Workspaces[0].Limit = jobs.Resources{}
	sim.core.SetConfiguration(sim.config)
	sim.run(time.Second)
	sim.lossRate = 0.05
	for i := range 200 {
		sim.submit(fmt.Sprintf("%016x", i+1), stepOf(4, 500), stepOf(4, 500, 0))
		sim.run(100 * time.Millisecond)
	}
	assert.Empty(t, sim.violations)
	slow := 0
	for _, d := range sim.endDelays {
		if d > targetLatency {
			slow++
		}
	}
	t.Logf("%d of %d ends were reported after more than %v", slow, len(sim.endDelays), targetLatency)
	assert.Greater(t, len(sim.endDelays), 800)
	assert.Less(t, float64(slow), 0.01*float64(len(sim.endDelays)), "only two losses in a row may hide an end for longer")
}
