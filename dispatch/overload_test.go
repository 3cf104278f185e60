package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
)

// flood hands in jobs of one task that need a server's quarter each.
func (w *world) flood(from, count int) {
	for i := range count {
		w.submit(fmt.Sprintf("%016x", from+i), stepOf(1, 1000))
	}
}

// TestLateJobsLeaveRoomForATurn guards against jobs that can't be on time and fill a pool: what can be on time, and comes a moment later, waited
// until their tasks ended (quiet-1 of the small twin: 0 of 194 quotes on time).
func TestLateJobsLeaveRoomForATurn(t *testing.T) {
	w := newWorld(31, 4)
	w.config.Workspaces[0].Limit = jobs.Resources{}
	w.core.SetConfiguration(w.config)
	w.run(300 * time.Millisecond)
	w.flood(0x100, 120)
	w.run(3 * time.Second)
	require.Greater(t, w.core.Counts().Late, 20)
	for range 20 {
		w.step()
		assert.LessOrEqual(t, w.core.Counts().Runs, 13, "a quarter of 16 is left, less one that began before")
	}
	w.submit(newJob, stepOf(3, 1000))
	w.run(100 * time.Millisecond)
	assert.Len(t, w.core.jobs[newJob].occurrences[0].steps[0].tasks, 3)
	assert.Equal(t, 3, w.core.jobs[newJob].runs, "all of it starts at once")
	w.run(30 * time.Second)
	assert.Empty(t, w.faults)
	for i := range 120 {
		assert.Equal(t, jobs.Complete, w.phase(fmt.Sprintf("%016x", 0x100+i)), "what was accepted is done, also late")
	}
}

// TestLateJobsAreEndedBeforeOthersBegin guards against many jobs that are each done by half: a job that has begun and can't be on time any more
// comes before those that are late and haven't begun, and jobs that are of no use come last.
func TestLateJobsAreEndedBeforeOthersBegin(t *testing.T) {
	w := newWorld(32, 1)
	w.run(200 * time.Millisecond)
	w.submit("00000000000000a1", stepOf(1, 1000), stepOf(1, 1000, 0))
	w.run(100 * time.Millisecond)
	began := w.core.jobs["00000000000000a1"]
	require.True(t, began.started)
	w.submit("00000000000000a2", stepOf(1, 1000))
	fresh := w.core.jobs["00000000000000a2"]
	ranks := func() (rank, rank) { return w.core.candidate(began).rank, w.core.candidate(fresh).rank }
	a, b := ranks()
	assert.Equal(t, []rank{rankStarted, rankOnTime}, []rank{a, b})
	w.core.Advance(w.now+4*time.Second, w.wall()+4000, true)
	a, b = ranks()
	assert.Equal(t, []rank{rankLateStarted, rankLate}, []rank{a, b})
	w.core.Advance(w.now+20*time.Second, w.wall()+20000, true)
	a, b = ranks()
	assert.Equal(t, []rank{rankUseless, rankUseless}, []rank{a, b})
}

// TestReleasedServersGetNoNewWork guards against a machine that never becomes empty although another pool waits for it.
func TestReleasedServersGetNoNewWork(t *testing.T) {
	w := newWorld(33, 2)
	w.run(200 * time.Millisecond)
	w.core.SetReleased(map[string]bool{"s0": true})
	w.flood(0x100, 6)
	w.run(100 * time.Millisecond)
	assert.Empty(t, w.servers["s0"].runs)
	assert.NotEmpty(t, w.servers["s1"].runs)
	w.core.SetReleased(nil)
	w.run(100 * time.Millisecond)
	assert.NotEmpty(t, w.servers["s0"].runs)
	assert.Empty(t, w.faults)
}

// asked is a job that a caller wants to hand in.
func asked(w *world, id string) *jobs.Submission {
	return &jobs.Submission{
		ID: id, Route: "q", Service: "pool", Workspace: "w", MaxAttempts: 3, SlackFactor: 1.6, TargetMS: 600, ReceivedMS: w.wall(),
		Spec: jobs.Spec{Text: "x", Steps: []jobs.Step{stepOf(4, 1000)}},
	}
}

// TestWhatCannotBeOnTimeIsTurnedAway guards against callers who are told that their job is accepted when it is known to be late, against jobs that
// are accepted by many nodes at the same moment as if each were the only one, and against a refusal that outlasts its reason.
func TestWhatCannotBeOnTimeIsTurnedAway(t *testing.T) {
	w := newWorld(34, 4)
	w.run(unknownBefore)
	w.config.Workspaces[0].Limit = jobs.Resources{}
	w.core.SetConfiguration(w.config)
	w.run(300 * time.Millisecond)
	assert.True(t, w.core.Admit(asked(w, newJob)).Accepted, "all servers are free")
	w.flood(0x100, 120)
	w.run(3 * time.Second)
	require.Greater(t, w.core.Counts().Late, 20)
	accepted := 0
	var refused []string
	for i := range 40 {
		id := fmt.Sprintf("%016x", 0x500+i)
		if v := w.core.Admit(asked(w, id)); v.Accepted {
			accepted++
		} else {
			refused = append(refused, id)
			assert.Greater(t, v.Return, time.Duration(0))
			assert.NotEmpty(t, v.Reason)
		}
	}
	assert.Greater(t, accepted, 0, "late jobs give way to those that can be on time")
	assert.Less(t, accepted, 15, "none of them has come to the dispatcher yet")
	require.NotEmpty(t, refused)
	assert.Greater(t, w.core.arrivals["pool"].rate.CPU, int64(20_000), "what is turned away needs servers too")
	w.core.NoteAccepted(refused[1])
	assert.True(t, w.core.Admit(asked(w, refused[1])).Accepted, "it may be stored, so that a refusal would be untrue")
	assert.False(t, w.core.Admit(asked(w, refused[2])).Accepted)
	w.core = New(Params{Epoch: w.epoch + 1, Lease: testLease, PredecessorsUntil: w.now}, w.ledger, w.config, w.now, w.wall())
	assert.True(t, w.core.Admit(asked(w, refused[2])).Accepted, "a new dispatcher doesn't know what was accepted")
	w.takeOver()
	w.run(30 * time.Second)
	assert.True(t, w.core.Admit(asked(w, refused[0])).Accepted, "what was in the way is done")
}
