package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

const (
	oldJob = "00000000000000aa"
	newJob = "00000000000000bb"
)

// machines returns the machines of the servers that are up.
func (sim *simulation) machines() []jobs.Machine {
	var all []jobs.Machine
	for _, id := range sim.serverIDs() {
		if s := sim.servers[id]; s.up {
			all = append(all, jobs.Machine{ID: s.info.Machine, Server: id, Up: true, Phase: "up"})
		}
	}
	return all
}

// runWithMachineList advances the simulated time and passes the list of machines to the core in each tick.
func (sim *simulation) runWithMachineList(d time.Duration) {
	for until := sim.now + d; sim.now < until; {
		sim.step()
		sim.core.ServerListComplete()
		sim.core.UpdateMachines(sim.machines())
	}
}

// longRunningStep returns a step with one task that runs until it is cancelled.
func longRunningStep() jobs.Step {
	s := stepOf(1, 1000)
	s.LongRunning = true
	return s
}

// TestServerOfARemovedMachineDelaysNoTask guards against a long-running task that isn't restarted for 20 s: its server had left the fleet but was
// still in the ledger, and each of three dispatchers waited for the server's leases again (rutnat mix --seed 393352223081).
func TestServerOfARemovedMachineDelaysNoTask(t *testing.T) {
	sim := newSimulation(21, 2)
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	require.Equal(t, 1, sim.starts)
	for _, s := range sim.servers {
		s.up = len(s.runs) == 0
	}
	for range 3 {
		sim.takeOver()
		sim.runWithMachineList(400 * time.Millisecond)
	}
	assert.Empty(t, sim.violations)
	assert.Equal(t, 2, sim.starts)
}

// TestTakeoverWaitsForServerThatIsCutOff guards against a second run of a task whose server is only cut off. The list of machines still shows the
// server.
func TestTakeoverWaitsForServerThatIsCutOff(t *testing.T) {
	sim := newSimulation(22, 2)
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	for _, s := range sim.servers {
		s.cutOff = len(s.runs) > 0
	}
	sim.takeOver()
	for id := range sim.servers {
		sim.core.ServerUnlisted(id) // the store has just recovered and has no entries yet
	}
	sim.runWithMachineList(3 * time.Second)
	assert.Empty(t, sim.violations)
	assert.Equal(t, 1, sim.starts)
	sim.runWithMachineList(5 * time.Second)
	assert.Empty(t, sim.violations)
	assert.Equal(t, 2, sim.starts, "its lease has expired")
}

// TestUnstartedJobsDoNotWaitAfterTakeover guards against an entire queue that waits for one unresponsive server after each change of the dispatcher,
// as when a rack fails and all nodes are killed (271 late jobs after 5 s in the scenario trouble-3 of both enlarged deployments).
func TestUnstartedJobsDoNotWaitAfterTakeover(t *testing.T) {
	sim := newSimulation(23, 2)
	sim.submit(oldJob, stepOf(1, 1000))
	sim.run(300 * time.Millisecond)
	require.Equal(t, 1, sim.starts)
	for _, s := range sim.servers {
		s.cutOff = len(s.runs) > 0
	}
	sim.submit(newJob, stepOf(2, 1000))
	sim.core = nil // the predecessor has ended before it received the job
	sim.takeOver()
	sim.run(500 * time.Millisecond)
	assert.Equal(t, 3, sim.starts)
	assert.Empty(t, sim.violations)
}

// TestNoJobStartsBeforeItsMarkIsStored guards against a successor that takes a job for unstarted although the job runs on a server which the
// successor can't reach.
func TestNoJobStartsBeforeItsMarkIsStored(t *testing.T) {
	sim := newSimulation(24, 2)
	sim.run(200 * time.Millisecond)
	sim.submit(oldJob, stepOf(1, 1000), stepOf(1, 1000, 0))
	sim.run(100 * time.Millisecond)
	sim.storeDown = true
	sim.submit(newJob, stepOf(1, 1000))
	sim.run(3 * time.Second)
	assert.Equal(t, 2, sim.starts, "both steps of the first job, and none of the second job")
	sim.storeDown = false
	sim.run(time.Second)
	assert.Equal(t, 3, sim.starts)
	assert.Empty(t, sim.violations)
}

// TestWorkspaceAtItsLimitDoesNotBlockOthers guards against many jobs of a workspace at its limit that use up the start marks of the service.
func TestWorkspaceAtItsLimitDoesNotBlockOthers(t *testing.T) {
	sim := newSimulation(25, 2)
	sim.config.Workspaces = []jobs.Workspace{{Name: "w", Limit: jobs.Resources{CPU: 1000}}, {Name: "other"}}
	sim.core.SetConfiguration(sim.config)
	for i := range 3 * maxMarkedWaiting {
		sim.submit(fmt.Sprintf("%016x", 1000+i), stepOf(1, 1000))
	}
	sim.run(200 * time.Millisecond)
	s := jobs.Submission{ID: newJob, Route: "q", Service: "pool", Workspace: "other", MaxAttempts: 3, ReceivedMS: sim.wall(), Spec: jobs.Spec{Steps: []jobs.Step{stepOf(1, 1000)}}}
	sim.specs[newJob], sim.steps[newJob+".0.0.0"] = s, s.Spec.Steps[0]
	sim.apply([]ledger.Record{ledger.SubmissionRecord(s)})
	sim.run(200 * time.Millisecond)
	started := false
	for _, server := range sim.servers {
		started = started || server.runs[newJob+".0.0.0"] != nil
	}
	assert.True(t, started)
}

// TestTakeoverOfAFailedJob guards against a dispatcher that crashes on a job whose last attempt has failed and whose final state isn't stored.
func TestTakeoverOfAFailedJob(t *testing.T) {
	sim := newSimulation(26, 1)
	sim.submit(oldJob, stepOf(1, 1000))
	sim.core = nil
	failed := ledger.OccurrenceProgress{Steps: []ledger.StepProgress{{Failures: map[int]ledger.TaskFailures{0: {Attempts: []int64{1, 2, 3}}}}}}
	sim.apply([]ledger.Record{
		ledger.ProgressRecord(oldJob, ledger.Progress{MayHaveStarted: true, Started: true, Occurrences: []ledger.OccurrenceProgress{failed}}),
		ledger.CancelRecord(oldJob),
	})
	sim.takeOver()
	sim.run(200 * time.Millisecond)
	assert.Equal(t, jobs.Failed, sim.phase(oldJob))
}

// TestLeasesOfAStoppedPredecessorExpireSooner guards against waiting for the grace period of a predecessor that has already stopped.
func TestLeasesOfAStoppedPredecessorExpireSooner(t *testing.T) {
	sim := newSimulation(27, 2)
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	for _, s := range sim.servers {
		s.cutOff = len(s.runs) > 0
	}
	sim.takeOver()
	sim.core.PredecessorsStoppedBy(sim.now)
	sim.run(testLease)
	assert.Equal(t, 1, sim.starts, "a lease that was granted before has not expired")
	sim.run(testSilence * 7 / 10)
	assert.Equal(t, 2, sim.starts)
	assert.Empty(t, sim.violations)
}

// TestServersWithoutAReportMayNotEnd guards against an upkeep that ends a long-running task which must not become unavailable, because a new
// dispatcher has not yet received a report of the server's runs (violation AVAIL in the scenario trouble-3 of rutnat-grown, 0.7 s after a takeover).
func TestServersWithoutAReportMayNotEnd(t *testing.T) {
	sim := newSimulation(28, 2)
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	sim.takeOver()
	for id, s := range sim.servers {
		assert.False(t, sim.core.MayTerminate(id), "%s has not reported", id)
		s.cutOff = true
	}
	sim.run(time.Second)
	for id, s := range sim.servers {
		assert.False(t, sim.core.MayTerminate(id), "%s doesn't answer", id)
		s.cutOff = false
	}
	sim.run(time.Second)
	for id := range sim.servers {
		assert.True(t, sim.core.MayTerminate(id), "its only task may be unavailable")
	}
}

// serverWithRuns returns the only server that runs tasks.
func (sim *simulation) serverWithRuns(t *testing.T) *fakeServer {
	t.Helper()
	var found *fakeServer
	for _, s := range sim.servers {
		if len(s.runs) > 0 {
			require.Nil(t, found)
			found = s
		}
	}
	require.NotNil(t, found)
	return found
}

// requireAwaited checks that the task on a server that is cut off with its dispatcher starts elsewhere only once its lease has expired.
func (sim *simulation) requireAwaited(t *testing.T) {
	t.Helper()
	sim.requireAwaitedUntil(t, sim.now+testSilence+testLease)
}

// requireAwaitedUntil checks that the only task that has started starts elsewhere at a time, and not sooner.
func (sim *simulation) requireAwaitedUntil(t *testing.T, at time.Duration) {
	t.Helper()
	require.Equal(t, 1, sim.starts)
	sim.run(at - sim.now - 300*time.Millisecond)
	assert.Equal(t, 1, sim.starts, "the lease has not expired")
	sim.run(1500 * time.Millisecond)
	assert.Equal(t, 2, sim.starts, "the lease has expired")
	assert.Empty(t, sim.violations)
}

// TestTakeoverWaitsForServersThatHaveRestarted guards against a second run of a task on a server that restarted under its id long before it got the
// task, and is cut off with the dispatcher: the next dispatcher took the server for one that had just restarted (review/1).
func TestTakeoverWaitsForServersThatHaveRestarted(t *testing.T) {
	sim := newSimulation(29, 2)
	sim.run(time.Second)
	for _, id := range sim.serverIDs() {
		sim.restartUnanswered(sim.servers[id])
		sim.run(time.Second)
	}
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	s := sim.serverWithRuns(t)
	sim.cutOffDispatcher(s)
	sim.requireAwaitedUntil(t, s.bornAt+testFormerLease)
}

// TestTakeoverWaitsForServersThatHaveRestartedAnswered guards against the same second run if all calls to the former incarnations were answered.
func TestTakeoverWaitsForServersThatHaveRestartedAnswered(t *testing.T) {
	sim := newSimulation(29, 2)
	sim.run(time.Second)
	for _, id := range sim.serverIDs() {
		sim.restart(sim.servers[id])
		sim.run(time.Second)
	}
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	sim.cutOffDispatcher(sim.serverWithRuns(t))
	sim.requireAwaited(t)
}

// TestTakeoverWaitsForServersWithAnOutdatedRecord guards against the same second run if a dispatcher of an earlier version has left the record of the
// server's first incarnation.
func TestTakeoverWaitsForServersWithAnOutdatedRecord(t *testing.T) {
	sim := newSimulation(30, 2)
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	s := sim.serverWithRuns(t)
	outdated := sim.ledger.Servers[s.info.ID]
	outdated.BornMS -= 1000
	sim.apply([]ledger.Record{ledger.ServerRecord(s.info.ID, outdated)})
	sim.cutOffDispatcher(s)
	sim.requireAwaitedUntil(t, sim.now+testFormerLease)
}

// TestTakeoverWaitsForServersOnAnotherMachine guards against a second run of a task on a server that restarted under its id on another machine: the
// ledger named the former machine, and the server counted as ended when that machine had left the fleet.
func TestTakeoverWaitsForServersOnAnotherMachine(t *testing.T) {
	sim := newSimulation(31, 1)
	sim.run(time.Second)
	s := sim.servers["s0"]
	sim.restartUnanswered(s)
	s.info.Machine, s.info.Address = "m-other", "other"
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	until := s.bornAt + testFormerLease
	record := sim.ledger.Servers["s0"]
	assert.InDelta(t, until.Milliseconds(), record.FormerLeasesUntilMS, 100)
	assert.Equal(t, ledger.Server{Service: "pool", Address: "other", BornMS: s.info.BornMS, Machine: "m-other", FormerLeasesUntilMS: record.FormerLeasesUntilMS}, record)
	sim.addServer("s9", s.info.Capacity)
	delete(sim.entries, "s0") // the entry has expired
	sim.cutOffDispatcher(s)
	sim.step()
	sim.core.ServerListComplete()
	sim.core.UpdateMachines(sim.machines())
	sim.requireAwaitedUntil(t, until)
}

// TestRestartedServerGetsWorkOnceItIsRecorded guards against work on an incarnation that the ledger doesn't name, because the record of the former
// one was stored after the restart.
func TestRestartedServerGetsWorkOnceItIsRecorded(t *testing.T) {
	sim := newSimulation(32, 1)
	info := sim.servers["s0"].info
	sim.core.ServerListed(info)
	former := sim.core.TakeBatch()
	require.Len(t, former.Records, 1)
	info.BornMS += 1000
	sim.core.ServerListed(info)
	sim.core.BatchStored(former)
	assert.False(t, sim.core.servers["s0"].recorded)
	present := sim.core.TakeBatch()
	assert.Equal(t, []ledger.Record{ledger.ServerRecord("s0", ledger.Server{Service: "pool", Address: "s0", BornMS: info.BornMS, Machine: "m-s0"})}, present.Records)
	sim.core.BatchStored(present)
	assert.True(t, sim.core.servers["s0"].recorded)
}

// TestEndsOfARestartedServerAreStoredBeforeTheyAreAcknowledged guards against the acknowledgement of an end that isn't stored: the ends of the server's
// former incarnation, whose numbers are higher, were being stored when it restarted. A task that was done would run again after the next takeover.
func TestEndsOfARestartedServerAreStoredBeforeTheyAreAcknowledged(t *testing.T) {
	sim := newSimulation(33, 1)
	sim.submit(oldJob, stepOf(1, 1000))
	sim.submit(newJob, stepOf(1, 1000))
	sim.run(300 * time.Millisecond)
	require.Equal(t, 2, sim.starts)
	report := func(bornMS int64, ends ...jobs.End) {
		sim.core.ReportReceived(Renewal{Server: jobs.Server{ID: "s0"}}, sim.now, jobs.Report{BornMS: bornMS, Ended: ends})
	}
	born := sim.servers["s0"].info.BornMS
	report(born, jobs.End{Number: 3, Task: oldJob + ".0.0.0", Attempt: 1, How: jobs.EndDone})
	former := sim.core.TakeBatch()
	report(born+1000, jobs.End{Number: 1, Task: newJob + ".0.0.0", Attempt: 1, How: jobs.EndDone})
	sim.core.BatchStored(former)
	assert.False(t, sim.core.EndsStored("s0"))
	r, _ := sim.core.NextRenewal("s0")
	assert.Zero(t, r.AckCursor)
	sim.core.BatchStored(sim.core.TakeBatch())
	assert.True(t, sim.core.EndsStored("s0"))
}

// TestAnswerFromAFormerAddressEndsNoRun guards against a second run of a task on a server that has restarted at another address: the answer of the server
// that has the former address now arrives after the restart is known.
func TestAnswerFromAFormerAddressEndsNoRun(t *testing.T) {
	sim := newSimulation(34, 1)
	sim.run(time.Second)
	renewal, ok := sim.core.NextRenewal("s0")
	require.True(t, ok)
	s := sim.servers["s0"]
	sim.restart(s)
	s.info.Address = "other"
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	require.NotNil(t, sim.onlyRun(t, oldJob))
	sim.core.ServerReplaced(renewal.Server)
	assert.NotNil(t, sim.onlyRun(t, oldJob))
	sim.core.ServerReplaced(s.info)
	assert.Nil(t, sim.core.jobs[oldJob].occurrences[0].steps[0].tasks[0].run)
}

// TestTakeoverWaitsForServersOfAFormerService guards against a second run of a task whose queue has been given to another service: its server, which
// doesn't answer the new dispatcher, belongs to the former one.
func TestTakeoverWaitsForServersOfAFormerService(t *testing.T) {
	sim := newSimulation(35, 1)
	sim.submit(oldJob, longRunningStep())
	sim.run(time.Second)
	other := sim.addServer("s9", sim.servers["s0"].info.Capacity)
	other.info.Service = "other"
	config := *sim.config
	config.Routes = []jobs.Route{{Name: "q", Service: "other"}}
	sim.config = &config
	sim.cutOffDispatcher(sim.servers["s0"])
	sim.requireAwaited(t)
}

// TestRunsMayBeAmongUnlistedEnds guards against tasks that run again after they were done: a server has more ends than it reports at a time, and while
// nothing can be stored, none is acknowledged. The runs behind them count as lost, also for a new dispatcher (review/2).
func TestRunsMayBeAmongUnlistedEnds(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeover=%v", takeover), func(t *testing.T) {
			sim := newSimulation(36, 1)
			sim.maxListedEnds = 2
			sim.submit(oldJob, stepOf(6, 500))
			sim.run(250 * time.Millisecond)
			require.Equal(t, 6, sim.starts)
			sim.storeDown = true
			sim.run(3 * time.Second)
			if takeover {
				sim.takeOver()
				sim.run(time.Second)
			}
			sim.storeDown = false
			sim.run(3 * time.Second)
			assert.Equal(t, 6, sim.starts)
			assert.Empty(t, sim.violations)
			assert.Equal(t, jobs.Complete, sim.phase(oldJob))
		})
	}
}

// TestOneEndCompletesAGang guards against a gang that never completes, because the end of one member was lost with its server: members end together, so
// the end of any of them stands for all (review/5).
func TestOneEndCompletesAGang(t *testing.T) {
	sim := newSimulation(39, 2)
	sim.config.Workspaces = nil
	sim.core.SetConfiguration(sim.config)
	gang := stepOf(2, 3000)
	gang.Gang = true
	sim.submit(oldJob, gang)
	sim.run(200 * time.Millisecond)
	require.Equal(t, 2, sim.starts)
	s0, s1 := sim.servers["s0"], sim.servers["s1"]
	s1.cutOff = true
	s1.runs = map[string]*fakeRun{} // its member has ended, and it crashes before it can report that
	for task := range s0.runs {
		s0.end(sim.now, task, jobs.EndDone)
	}
	sim.run(time.Second)
	sim.restart(s1)
	sim.run(8 * time.Second)
	assert.Equal(t, jobs.Complete, sim.phase(oldJob))
	assert.Equal(t, 2, sim.starts)
	assert.Empty(t, sim.violations)
}
