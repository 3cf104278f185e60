package loadshed

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// interactiveJob is a job whose objective allows a wait of one second.
var interactiveJob = Job{ID: "a", Demand: 0.5, CriticalPath: 700 * time.Millisecond, Objective: 1700 * time.Millisecond}

// TestFreeServersAcceptEveryJob guards against rejections while servers are free, also of jobs that can't be on time any more.
func TestFreeServersAcceptEveryJob(t *testing.T) {
	late := interactiveJob
	late.Elapsed = time.Minute
	late.Demand, late.OverShare = 1, true
	assert.True(t, Decide(ServiceLoad{Servers: 3, FreeServers: 3}, interactiveJob).Accepted)
	assert.True(t, Decide(ServiceLoad{Servers: 3, FreeServers: 3, WaitingDemand: 1, Backlog: time.Minute}, late).Accepted)
	assert.False(t, Decide(ServiceLoad{Servers: 3, FreeServers: 3, WaitingDemand: 2, Backlog: time.Minute, LateBacklog: time.Minute}, late).Accepted)
}

// TestLateJobIsRejected guards against callers who wait for a result that is known to come too late.
func TestLateJobIsRejected(t *testing.T) {
	busy := ServiceLoad{Servers: 10, Backlog: 10 * time.Second, LateBacklog: 20 * time.Second}
	assert.False(t, Decide(busy, interactiveJob).Accepted)
	busy.LateBacklog = 0
	assert.True(t, Decide(busy, interactiveJob).Accepted, "no job is late yet, so the estimated wait is too long, or the peak is short")
	busy.LateBacklog = 20 * time.Second
	long := interactiveJob
	long.Objective = 5 * time.Second
	assert.True(t, Decide(busy, long).Accepted, "its objective allows the wait")
}

// TestArrivingServersCount guards against rejections during the two seconds in which the servers for a peak are on their way.
func TestArrivingServersCount(t *testing.T) {
	s := ServiceLoad{Servers: 2, Backlog: 4 * time.Second, ArrivingServers: 100, ArrivingIn: 500 * time.Millisecond, LateBacklog: time.Hour}
	assert.InDelta(t, float64(535*time.Millisecond), float64(s.EstimatedWait(interactiveJob.Demand)), float64(30*time.Millisecond))
	assert.True(t, Decide(s, interactiveJob).Accepted)
	s.ArrivingServers = 0
	assert.False(t, Decide(s, interactiveJob).Accepted)
}

// TestRetryDelayOfARejection guards against callers who retry before there is capacity, long after there is, or all at once.
func TestRetryDelayOfARejection(t *testing.T) {
	s := ServiceLoad{Servers: 10, Backlog: 60 * time.Second, LateBacklog: 60 * time.Second}
	var delays []time.Duration
	for i := range 200 {
		j := interactiveJob
		j.ID = fmt.Sprint(i)
		v := Decide(s, j)
		require.False(t, v.Accepted)
		assert.GreaterOrEqual(t, v.Return, s.EstimatedWait(interactiveJob.Demand)-j.Objective)
		assert.LessOrEqual(t, v.Return, s.EstimatedWait(interactiveJob.Demand)+retryJitter)
		delays = append(delays, v.Return)
	}
	slices.Sort(delays)
	assert.Greater(t, delays[150]-delays[50], retryJitter/3)
	assert.LessOrEqual(t, Decide(ServiceLoad{LateBacklog: time.Second}, interactiveJob).Return, maxRetryDelay+retryJitter, "also at a service without servers")
}

// TestRejectedCallersReturnInTurn guards against callers who were rejected within a moment and return within another one, to be rejected again: they return
// in the order in which they were rejected, and no faster than the servers can take them.
func TestRejectedCallersReturnInTurn(t *testing.T) {
	s := ServiceLoad{Servers: 10, Backlog: 30 * time.Second, LateBacklog: 60 * time.Second}
	const work = 350 * time.Millisecond // of interactiveJob, in server time
	returning := map[time.Duration]time.Duration{}
	var delays []time.Duration
	for i := range 150 {
		j := interactiveJob
		j.ID = fmt.Sprint(i)
		v := Decide(s, j)
		require.False(t, v.Accepted)
		s.Returning += work
		returning[v.Return.Truncate(time.Second)] += work
		delays = append(delays, v.Return)
	}
	for second, sum := range returning {
		assert.Less(t, sum, 12*time.Second, "return within the second after %v", second)
	}
	assert.Less(t, slices.Max(delays[:30]), slices.Min(delays[120:]))
}

// TestScheduledRetryIgnoresElapsedTime guards against a caller who is told to retry later and is then rejected because so much time has passed.
func TestScheduledRetryIgnoresElapsedTime(t *testing.T) {
	s := ServiceLoad{Servers: 10, Backlog: 5 * time.Second, LateBacklog: 60 * time.Second}
	j := interactiveJob
	j.Elapsed, j.ScheduledRetry = 4*time.Second, true
	assert.True(t, Decide(s, j).Accepted)
}

// task is a job of one task in the simulation.
type task struct {
	id                  string
	submitted, deadline time.Duration
	runTime             time.Duration
}

// lateRank returns 1 for a task that can't be on time any more, if late tasks are started last, and 0 otherwise.
func (k task) lateRank(now time.Duration, lateLast bool) int {
	if lateLast && now+700*time.Millisecond > k.deadline {
		return 1
	}
	return 0
}

// simulatePeak simulates a demand peak: low demand, then five times the mean for four seconds, then low demand again. It returns the shares of
// jobs that were on time and rejected. decide says whether a job is accepted; jobs start in the order of their submission, but after all others
// if they can't be on time any more and lateLast is set.
func simulatePeak(t *testing.T, lateLast bool, decide func(s ServiceLoad, j Job) Verdict) (onTime, rejected float64) {
	t.Helper()
	const (
		servers = 100
		step    = 10 * time.Millisecond
		meanRun = 700 * time.Millisecond
		end     = 14 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	var queue []task
	running := []time.Duration{} // when each busy server becomes free
	total, punctual, rejections := 0, 0, 0
	for now := time.Duration(0); now < end; now += step {
		rate := 30.0 // jobs per second; 100 servers handle 142
		if now > 3*time.Second && now < 7*time.Second {
			rate = 400
		}
		running = slices.DeleteFunc(running, func(until time.Duration) bool { return until <= now })
		for range int(rate*step.Seconds() + rng.Float64()) {
			total++
			runTime := time.Duration(float64(meanRun) * (0.5 + rng.Float64()))
			j := Job{ID: fmt.Sprint(total), Demand: 1, CriticalPath: meanRun, Objective: meanRun*16/10 + 600*time.Millisecond}
			var backlog, late time.Duration
			for _, q := range queue {
				if q.deadline > now+meanRun {
					backlog += meanRun
				} else {
					late += meanRun
				}
			}
			s := ServiceLoad{Servers: servers / packingEfficiency, FreeServers: float64(servers-len(running)) / packingEfficiency, WaitingDemand: float64(len(queue)), Backlog: backlog, LateBacklog: late}
			if !decide(s, j).Accepted {
				rejections++
				continue
			}
			queue = append(queue, task{j.ID, now, now + j.Objective, runTime})
		}
		slices.SortStableFunc(queue, func(a, b task) int {
			return cmp.Or(cmp.Compare(a.lateRank(now, lateLast), b.lateRank(now, lateLast)), cmp.Compare(a.submitted, b.submitted))
		})
		for len(queue) > 0 && len(running) < servers {
			if now+queue[0].runTime <= queue[0].deadline {
				punctual++
			}
			running = append(running, now+queue[0].runTime)
			queue = queue[1:]
		}
	}
	return float64(punctual) / float64(total), float64(rejections) / float64(total)
}

// TestSimulatedPeak guards against a policy that completes fewer jobs on time than accepting all of them in the order of submission, or that
// rejects jobs that could be served on time.
func TestSimulatedPeak(t *testing.T) {
	acceptAll := func(ServiceLoad, Job) Verdict { return Verdict{Accepted: true} }
	fifo, _ := simulatePeak(t, false, acceptAll)
	lateLast, _ := simulatePeak(t, true, acceptAll)
	onTime, rejected := simulatePeak(t, true, Decide)
	t.Logf("on time: %.3f accepting all in order of submission, %.3f starting late jobs last, %.3f with load shedding; rejected %.3f", fifo, lateLast, onTime, rejected)
	assert.Greater(t, onTime, fifo+0.1)
	assert.GreaterOrEqual(t, onTime, lateLast-0.02, "rejections cost no job that could be on time")
	assert.Less(t, rejected, 1-lateLast, "only jobs that would be late")
	assert.Greater(t, rejected, 0.1, "jobs that would wait long are rejected at once")
}

// TestCallersWaitForNoWorkspaceBeyondItsShare guards against a workspace that sends many times its usual and whose rejected callers put off those of all
// others.
func TestCallersWaitForNoWorkspaceBeyondItsShare(t *testing.T) {
	s := ServiceLoad{Servers: 10, Backlog: 30 * time.Second, LateBacklog: 60 * time.Second}
	before := Decide(s, interactiveJob)
	require.False(t, before.Accepted)
	s.ReturningOver = 100 * time.Second
	assert.Equal(t, before, Decide(s, interactiveJob))
	over := interactiveJob
	over.OverShare = true
	assert.Greater(t, Decide(s, over).Return, before.Return, "its own callers return in turn")
}
