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

// machines lists the machines of the servers that are up.
func (w *world) machines() []jobs.Machine {
	var all []jobs.Machine
	for _, id := range w.ids() {
		if s := w.servers[id]; s.up {
			all = append(all, jobs.Machine{ID: s.info.Machine, Server: id, Up: true, Phase: "up"})
		}
	}
	return all
}

// runListing lets time pass while the list of machines is read.
func (w *world) runListing(d time.Duration) {
	for until := w.now + d; w.now < until; {
		w.step()
		w.core.ServerListComplete()
		w.core.UpdateMachines(w.machines())
	}
}

// lasting is a step whose one task runs until it is cancelled.
func lasting() jobs.Step {
	s := stepOf(1, 1000)
	s.LongRunning = true
	return s
}

// TestAServerThatLeftHoldsUpNothing guards against a long-running task that isn't started again for 20 s: its server had left, the ledger
// still had it, and each of three dispatchers waited for its leases anew (rutnat mix --seed 393352223081).
func TestAServerThatLeftHoldsUpNothing(t *testing.T) {
	w := newWorld(21, 2)
	w.submit(oldJob, lasting())
	w.run(time.Second)
	require.Equal(t, 1, w.starts)
	for _, s := range w.servers {
		s.up = len(s.runs) == 0
	}
	for range 3 {
		w.takeOver()
		w.runListing(400 * time.Millisecond)
	}
	assert.Empty(t, w.faults)
	assert.Equal(t, 2, w.starts)
}

// TestACutServerIsWaitedFor guards against a second run of a task whose server is only cut off: its machine is listed with it.
func TestACutServerIsWaitedFor(t *testing.T) {
	w := newWorld(22, 2)
	w.submit(oldJob, lasting())
	w.run(time.Second)
	for _, s := range w.servers {
		s.cut = len(s.runs) > 0
	}
	w.takeOver()
	for id := range w.servers {
		w.core.ServerUnlisted(id) // the store is just back, and no entry is there yet
	}
	w.runListing(3 * time.Second)
	assert.Empty(t, w.faults)
	assert.Equal(t, 1, w.starts)
	w.runListing(5 * time.Second)
	assert.Empty(t, w.faults)
	assert.Equal(t, 2, w.starts, "its lease has lapsed")
}

// TestJobsThatHaveNotBegunDoNotWait guards against a whole queue that waits for one dark server after each change of the dispatcher, as when
// a rack is dark while all nodes are killed (trouble-3 of both grown deployments: 271 late jobs after 5 s).
func TestJobsThatHaveNotBegunDoNotWait(t *testing.T) {
	w := newWorld(23, 2)
	w.submit(oldJob, stepOf(1, 1000))
	w.run(300 * time.Millisecond)
	require.Equal(t, 1, w.starts)
	for _, s := range w.servers {
		s.cut = len(s.runs) > 0
	}
	w.submit(newJob, stepOf(2, 1000))
	w.core = nil // the former dispatcher has ended before it saw the job
	w.takeOver()
	w.run(500 * time.Millisecond)
	assert.Equal(t, 3, w.starts)
	assert.Empty(t, w.faults)
}

// TestNothingStartsBeforeItIsStored guards against a job that a successor takes for one that has not begun, although it runs on a server that
// the successor can't reach.
func TestNothingStartsBeforeItIsStored(t *testing.T) {
	w := newWorld(24, 2)
	w.run(200 * time.Millisecond)
	w.submit(oldJob, stepOf(1, 1000), stepOf(1, 1000, 0))
	w.run(100 * time.Millisecond)
	w.storeDown = true
	w.submit(newJob, stepOf(1, 1000))
	w.run(3 * time.Second)
	assert.Equal(t, 2, w.starts, "both steps of the first job, none of the second")
	w.storeDown = false
	w.run(time.Second)
	assert.Equal(t, 3, w.starts)
	assert.Empty(t, w.faults)
}

// TestAWorkspaceAtItsLimitHoldsUpNoOther guards against marks that a flood of one workspace at its limit uses up.
func TestAWorkspaceAtItsLimitHoldsUpNoOther(t *testing.T) {
	w := newWorld(25, 2)
	w.config.Workspaces = []jobs.Workspace{{Name: "w", Limit: jobs.Resources{CPU: 1000}}, {Name: "other"}}
	w.core.SetConfiguration(w.config)
	for i := range 3 * markAhead {
		w.submit(fmt.Sprintf("%016x", 1000+i), stepOf(1, 1000))
	}
	w.run(200 * time.Millisecond)
	s := jobs.Submission{ID: newJob, Route: "q", Service: "pool", Workspace: "other", MaxAttempts: 3, ReceivedMS: w.wall(), Spec: jobs.Spec{Steps: []jobs.Step{stepOf(1, 1000)}}}
	w.specs[newJob], w.steps[newJob+".0.0.0"] = s, s.Spec.Steps[0]
	w.apply([]ledger.Record{ledger.SubmissionRecord(s)})
	w.run(200 * time.Millisecond)
	started := false
	for _, server := range w.servers {
		started = started || server.runs[newJob+".0.0.0"] != nil
	}
	assert.True(t, started)
}

// TestAFailedJobIsTakenOver guards against a dispatcher that crashes on a job whose last attempt has failed and whose end isn't stored.
func TestAFailedJobIsTakenOver(t *testing.T) {
	w := newWorld(26, 1)
	w.submit(oldJob, stepOf(1, 1000))
	w.core = nil
	failed := ledger.OccurrenceProgress{Steps: []ledger.StepProgress{{Failures: map[int]ledger.TaskFailures{0: {Attempts: []int64{1, 2, 3}}}}}}
	w.apply([]ledger.Record{
		ledger.ProgressRecord(oldJob, ledger.Progress{MayHaveStarted: true, Started: true, Occurrences: []ledger.OccurrenceProgress{failed}}),
		ledger.CancelRecord(oldJob),
	})
	w.takeOver()
	w.run(200 * time.Millisecond)
	assert.Equal(t, jobs.Failed, w.phase(oldJob))
}

// TestLeasesOfAFormerThatHasStoppedLapseSooner guards against a wait for a grace that a former dispatcher doesn't use.
func TestLeasesOfAFormerThatHasStoppedLapseSooner(t *testing.T) {
	w := newWorld(27, 2)
	w.submit(oldJob, lasting())
	w.run(time.Second)
	for _, s := range w.servers {
		s.cut = len(s.runs) > 0
	}
	w.takeOver()
	w.core.PredecessorsStoppedBy(w.now)
	w.run(testLease)
	assert.Equal(t, 1, w.starts, "a lease given by then has not lapsed")
	w.run(testSilence * 7 / 10)
	assert.Equal(t, 2, w.starts)
	assert.Empty(t, w.faults)
}

// TestUnknownServersAreNotEnded guards against an upkeep that ends a long-running task which can't be spared, because a new dispatcher has not
// heard yet what runs on the server (AVAIL on trouble-3 of rutnat-grown, 0.7 s after a takeover).
func TestUnknownServersAreNotEnded(t *testing.T) {
	w := newWorld(28, 2)
	w.submit(oldJob, lasting())
	w.run(time.Second)
	w.takeOver()
	for id, s := range w.servers {
		assert.False(t, w.core.MayEnd(id), "nothing was heard of %s", id)
		s.cut = true
	}
	w.run(time.Second)
	for id, s := range w.servers {
		assert.False(t, w.core.MayEnd(id), "%s doesn't answer", id)
		s.cut = false
	}
	w.run(time.Second)
	for id := range w.servers {
		assert.True(t, w.core.MayEnd(id), "its one task may be away")
	}
}
