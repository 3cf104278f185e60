package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
)

// onlyRun returns the one run of a job and its server.
func (w *world) onlyRun(t *testing.T, job string) *run {
	t.Helper()
	r := w.core.jobs[job].occurrences[0].steps[0].tasks[0].run
	require.NotNil(t, r)
	return r
}

// TestAPausedDispatcherAsksAgainBeforeItGivesRunsUp guards against work that is run again because this process was paused or overloaded, not the
// server: renewals seem unanswered for longer than a lease, and the first thing the process sees is that they are overdue (trouble-1 of
// the small twin: a task was started again 4.3 s after its end, which the server had listed meanwhile).
func TestAPausedDispatcherAsksAgainBeforeItGivesRunsUp(t *testing.T) {
	w := newWorld(41, 2)
	w.submit(oldJob, stepOf(1, 1000))
	w.run(300 * time.Millisecond)
	r := w.onlyRun(t, oldJob)
	sent := w.now
	for pause := w.now + 6*time.Second; w.now < pause; w.now += tick {
		for _, s := range w.servers {
			w.work(s)
		}
	}
	w.core.Advance(w.now, w.wall(), true)
	w.core.RenewalUnanswered(r.server.info.ID, sent, time.Second)
	w.core.Schedule()
	w.send()
	assert.Equal(t, 1, w.starts, "nothing starts before the server was asked again")
	w.run(time.Second)
	assert.Equal(t, 1, w.starts)
	assert.Equal(t, jobs.Complete, w.phase(oldJob))
}

// TestRunsAreGivenUpOnlyAfterALookThatFollowsTheirLease guards against a lost answer that ends a run: the last look was sent before the lease
// lapsed, and the server may have ended the run well since.
func TestRunsAreGivenUpOnlyAfterALookThatFollowsTheirLease(t *testing.T) {
	w := newWorld(42, 2)
	w.submit(oldJob, stepOf(1, 1000))
	w.run(300 * time.Millisecond)
	r := w.onlyRun(t, oldJob)
	lapsed := r.server.lapsesAt
	w.core.Advance(lapsed+500*time.Millisecond, w.wall(), true)
	w.core.RenewalUnanswered(r.server.info.ID, lapsed-100*time.Millisecond, 600*time.Millisecond)
	assert.Same(t, r, w.onlyRun(t, oldJob))
	w.core.Advance(lapsed+time.Second, w.wall(), true)
	w.core.RenewalUnanswered(r.server.info.ID, lapsed+100*time.Millisecond, 900*time.Millisecond)
	assert.Nil(t, w.core.jobs[oldJob].occurrences[0].steps[0].tasks[0].run, "now it was asked in vain")
}

// TestAReportThatWasLongOnItsWayStopsNothing guards against a healthy run that is stopped for showing no progress, when it is its report that
// is seconds old.
func TestAReportThatWasLongOnItsWayStopsNothing(t *testing.T) {
	w := newWorld(43, 1)
	w.submit(oldJob, stepOf(1, 1000))
	w.run(200 * time.Millisecond)
	r := w.onlyRun(t, oldJob)
	report := func(clockMS int64, percent int) {
		w.core.ReportReceived("s0", w.now, jobs.Report{ClockMS: clockMS, BornMS: r.server.bornMS, Active: []jobs.RunState{
			{Task: r.task.id.String(), Attempt: r.attempt, Percent: percent},
		}})
	}
	clock := r.server.clockMS
	report(clock+100, 50)
	w.core.Advance(w.now+standsAfter+time.Second, w.wall(), true)
	report(clock+200, 50)
	assert.Equal(t, runActive, r.state)
	report(clock+200+2*standsAfter.Milliseconds(), 50)
	assert.Equal(t, runStopping, r.state, "this one is new, and shows no progress")
}
