package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/loadshed"
	"example.org/comfreyrouter/waitorder"
)

// submitMany submits jobs of one task that needs a quarter of a server.
func (sim *simulation) submitMany(from, count int) {
	for i := range count {
		sim.submit(fmt.Sprintf("%016x", from+i), stepOf(1, 1000))
	}
}

// TestLateJobsLeaveCapacityForAPeak guards against late jobs that fill a pool. Jobs that could be on time and arrived a moment later had to wait
// until the tasks of the late ones ended (0 of 194 quotes were on time in the scenario quiet-1 of the small twin). Late jobs that are soon of no use
// take all of the pool, and a job that arrives then is still on time.
func TestLateJobsLeaveCapacityForAPeak(t *testing.T) {
	sim := newSimulation(31, 4)
	sim.config.Workspaces[0].Limit = jobs.Resources{}
	sim.core.SetConfiguration(sim.config)
	sim.run(300 * time.Millisecond)
	sim.submitMany(0x100, 120)
	sim.run(2500 * time.Millisecond)
	require.Greater(t, sim.core.Counts().Late, 20)
	for range 20 {
		sim.step()
		assert.LessOrEqual(t, sim.core.Counts().Runs, 13, "a quarter of the capacity for 16 tasks stays free, less one task that started before")
	}
	sim.submit(newJob, stepOf(3, 1000))
	sim.run(100 * time.Millisecond)
	assert.Len(t, sim.core.jobs[newJob].occurrences[0].steps[0].tasks, 3)
	assert.Equal(t, 3, sim.core.jobs[newJob].runCount, "all of its tasks start at once")
	sim.run(700 * time.Millisecond)
	assert.Greater(t, sim.core.Counts().Runs, 13)
	sim.submit(oldJob, stepOf(3, 1000))
	sim.run(1900 * time.Millisecond)
	assert.Equal(t, jobs.Complete, sim.phase(oldJob), "it is on time")
	sim.run(30 * time.Second)
	assert.Empty(t, sim.violations)
	for i := range 120 {
		assert.Equal(t, jobs.Complete, sim.phase(fmt.Sprintf("%016x", 0x100+i)), "accepted jobs complete even if they are late")
	}
	counts := sim.core.TakeEventCounts()
	assert.Positive(t, counts["job_result_late"])
	assert.Less(t, counts["job_result_late"]+counts["job_result_useless"], 122)
}

// TestStartedLateJobsRankBeforeOtherLateJobs guards against many partly executed jobs: late jobs that have started come before late jobs that
// haven't, and jobs whose result is of no use any more come last.
func TestStartedLateJobsRankBeforeOtherLateJobs(t *testing.T) {
	sim := newSimulation(32, 1)
	sim.run(200 * time.Millisecond)
	sim.submit("00000000000000a1", stepOf(1, 1000), stepOf(1, 1000, 0))
	sim.run(100 * time.Millisecond)
	began := sim.core.jobs["00000000000000a1"]
	require.True(t, began.started)
	sim.submit("00000000000000a2", stepOf(1, 1000))
	fresh := sim.core.jobs["00000000000000a2"]
	classes := func() []waitorder.Class {
		return []waitorder.Class{sim.core.candidate(began).Class, sim.core.candidate(fresh).Class}
	}
	assert.Equal(t, []waitorder.Class{waitorder.Begun, waitorder.OnTime}, classes())
	sim.core.Advance(sim.now+4*time.Second, sim.wall()+4000, true)
	assert.Equal(t, []waitorder.Class{waitorder.BegunLate, waitorder.Overdue}, classes())
	sim.core.Advance(sim.now+20*time.Second, sim.wall()+20000, true)
	assert.Equal(t, []waitorder.Class{waitorder.TooLate, waitorder.TooLate}, classes())
}

// TestReleasedServersGetNoNewWork guards against a machine that never becomes empty although another pool waits for it.
func TestReleasedServersGetNoNewWork(t *testing.T) {
	sim := newSimulation(33, 2)
	sim.run(200 * time.Millisecond)
	sim.core.SetReleased(map[string]bool{"s0": true})
	sim.submitMany(0x100, 6)
	sim.run(100 * time.Millisecond)
	assert.Empty(t, sim.servers["s0"].runs)
	assert.NotEmpty(t, sim.servers["s1"].runs)
	sim.core.SetReleased(nil)
	sim.run(100 * time.Millisecond)
	assert.NotEmpty(t, sim.servers["s0"].runs)
	assert.Empty(t, sim.violations)
}

// quoteJob returns a job for the admission decision.
func quoteJob(sim *simulation, id string) *jobs.Submission {
	return &jobs.Submission{
		ID: id, Route: "q", Service: "pool", Workspace: "w", MaxAttempts: 3, SlackFactor: 1.6, TargetMS: 600, ReceivedMS: sim.wall(),
		Spec: jobs.Spec{Text: "x", Steps: []jobs.Step{stepOf(4, 1000)}},
	}
}

// TestJobsThatCannotBeOnTimeAreRejected guards against three faults of admission: accepting a job that is known to be late, accepting jobs from many
// nodes at the same moment as if each were the only one, and rejecting jobs after the reason is gone.
func TestJobsThatCannotBeOnTimeAreRejected(t *testing.T) {
	sim := newSimulation(34, 4)
	sim.run(admitAllPeriod)
	sim.config.Workspaces[0].Limit = jobs.Resources{}
	sim.core.SetConfiguration(sim.config)
	sim.run(300 * time.Millisecond)
	assert.True(t, sim.core.Admit(quoteJob(sim, newJob)).Accepted, "all servers are free")
	sim.submitMany(0x100, 120)
	sim.run(3 * time.Second)
	require.Greater(t, sim.core.Counts().Late, 20)
	accepted := 0
	var refused []string
	for i := range 40 {
		id := fmt.Sprintf("%016x", 0x500+i)
		if v := sim.core.Admit(quoteJob(sim, id)); v.Accepted {
			accepted++
		} else {
			refused = append(refused, id)
			assert.Greater(t, v.Return, time.Duration(0))
			assert.NotEmpty(t, v.Reason)
		}
	}
	assert.Greater(t, accepted, 0, "late jobs yield to jobs that can be on time")
	assert.Less(t, accepted, 15, "accepted jobs that have not arrived count too")
	require.NotEmpty(t, refused)
	assert.Greater(t, sim.core.currentLoad("pool").Returning, time.Duration(0), "later callers are told to return after those")
	assert.Greater(t, sim.core.arrivals["pool"].rate.CPU, int64(20_000), "rejected jobs count towards the demand")
	sim.core.MarkAccepted(refused[1])
	assert.True(t, sim.core.Admit(quoteJob(sim, refused[1])).Accepted, "it may be stored, so a rejection would be wrong")
	assert.False(t, sim.core.Admit(quoteJob(sim, refused[2])).Accepted)
	sim.core = New(Params{Epoch: sim.epoch + 1, Lease: testLease, PredecessorsUntil: sim.now}, sim.ledger, sim.config, sim.now, sim.wall())
	assert.True(t, sim.core.Admit(quoteJob(sim, refused[2])).Accepted, "a new dispatcher doesn't know what was accepted")
	sim.takeOver()
	sim.run(30 * time.Second)
	assert.True(t, sim.core.Admit(quoteJob(sim, refused[0])).Accepted, "the jobs before it have completed")
	assert.Zero(t, sim.core.currentLoad("pool").Returning)
}

// TestOthersDoNotWaitForAWorkspaceFarBeyondItsUsual guards against jobs that wait behind those of a workspace that has sent many times its usual.
func TestOthersDoNotWaitForAWorkspaceFarBeyondItsUsual(t *testing.T) {
	sim := newSimulation(35, 4)
	sim.config.Workspaces = []jobs.Workspace{{Name: "w", Weight: 100}, {Name: "hot", Weight: 100}}
	sim.core.SetConfiguration(sim.config)
	sim.run(300 * time.Millisecond)
	submitHot := func(from, count int) {
		for i := range count {
			sim.submitFor("hot", fmt.Sprintf("%016x", from+i), stepOf(1, 1000))
		}
	}
	submitHot(0x100, 16)
	sim.run(200 * time.Millisecond)
	assert.Equal(t, 16, sim.core.Counts().Runs, "room that nobody else claims is used")
	sim.run(400 * time.Millisecond)
	submitHot(0x200, 24)
	sim.run(100 * time.Millisecond)
	sim.submitMany(0x300, 4)
	sim.run(800 * time.Millisecond)
	for i := range 4 {
		j := sim.core.jobs[fmt.Sprintf("%016x", 0x300+i)]
		assert.True(t, j == nil || j.started, "it doesn't wait for the jobs of the other workspace")
	}
	sim.run(30 * time.Second)
	assert.Empty(t, sim.violations)
	assert.Positive(t, sim.core.TakeEventCounts()["job_beyond_share"])
	assert.Empty(t, sim.core.poolUsage)
}

// TestRejectedCallersOfAWorkspaceBeyondItsShareDelayNoOthers guards against a workspace that sends many times its usual and whose rejected callers put off
// those of all others.
func TestRejectedCallersOfAWorkspaceBeyondItsShareDelayNoOthers(t *testing.T) {
	sim := newSimulation(36, 4)
	sim.run(admitAllPeriod)
	sim.config.Workspaces = []jobs.Workspace{{Name: "w", Weight: 100}, {Name: "hot", Weight: 1}}
	sim.core.SetConfiguration(sim.config)
	sim.run(300 * time.Millisecond)
	sim.submitMany(0x100, 120)
	sim.run(3 * time.Second)
	for i := range 10 {
		sim.submitFor("hot", fmt.Sprintf("%016x", 0x200+i), stepOf(1, 1000))
	}
	sim.run(100 * time.Millisecond)
	over := 0
	for i := range 100 {
		sub := quoteJob(sim, fmt.Sprintf("%016x", 0x500+i))
		sub.Workspace = "hot"
		if v := sim.core.Admit(sub); v.Reason == loadshed.OverShare {
			over++
		}
	}
	require.Greater(t, over, 50)
	load := sim.core.currentLoad("pool")
	assert.Zero(t, load.Returning)
	assert.Greater(t, load.ReturningOver, time.Minute)
	sim.run(measureInterval)
	load = sim.core.ServiceLoads()["pool"]
	assert.Zero(t, load.Returning, "after a new measurement too")
	assert.Greater(t, load.ReturningOver, time.Minute)
}
