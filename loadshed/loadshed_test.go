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

var quote = Job{ID: "a", Demand: 0.5, CriticalPath: 700 * time.Millisecond, Objective: 1700 * time.Millisecond}

// TestAFreeServiceTakesEveryJob guards against refusals while servers are free, also of jobs that can't be on time any more.
func TestAFreeServiceTakesEveryJob(t *testing.T) {
	late := quote
	late.Elapsed = time.Minute
	late.Demand, late.OverShare = 1, true
	assert.True(t, Decide(ServiceLoad{Servers: 3, FreeServers: 3}, quote).Accepted)
	assert.True(t, Decide(ServiceLoad{Servers: 3, FreeServers: 3, WaitingDemand: 1, Backlog: time.Minute}, late).Accepted)
	assert.False(t, Decide(ServiceLoad{Servers: 3, FreeServers: 3, WaitingDemand: 2, Backlog: time.Minute, LateBacklog: time.Minute}, late).Accepted)
}

// TestAJobThatWouldBeLateIsRefused guards against callers who wait for an answer of which it is known that it comes too late.
func TestAJobThatWouldBeLateIsRefused(t *testing.T) {
	busy := ServiceLoad{Servers: 10, Backlog: 10 * time.Second, LateBacklog: 20 * time.Second}
	assert.False(t, Decide(busy, quote).Accepted)
	busy.LateBacklog = 0
	assert.True(t, Decide(busy, quote).Accepted, "nobody is late yet, so the wait is guessed too long, or soon over")
	busy.LateBacklog = 20 * time.Second
	long := quote
	long.Objective = 5 * time.Second
	assert.True(t, Decide(busy, long).Accepted, "it can wait")
}

// TestComingServersCount guards against refusals during the two seconds in which the servers for a turn are on their way.
func TestComingServersCount(t *testing.T) {
	s := ServiceLoad{Servers: 2, Backlog: 4 * time.Second, ArrivingServers: 100, ArrivingIn: 500 * time.Millisecond, LateBacklog: time.Hour}
	assert.InDelta(t, float64(535*time.Millisecond), float64(s.EstimatedWait(quote.Demand)), float64(30*time.Millisecond))
	assert.True(t, Decide(s, quote).Accepted)
	s.ArrivingServers = 0
	assert.False(t, Decide(s, quote).Accepted)
}

// TestARefusalSaysWhenToComeBack guards against callers who come back while there is still no room, much later than there is, or all at once.
func TestARefusalSaysWhenToComeBack(t *testing.T) {
	s := ServiceLoad{Servers: 10, Backlog: 60 * time.Second, LateBacklog: 60 * time.Second}
	var times []time.Duration
	for i := range 200 {
		j := quote
		j.ID = fmt.Sprint(i)
		v := Decide(s, j)
		require.False(t, v.Accepted)
		assert.GreaterOrEqual(t, v.Return, s.EstimatedWait(quote.Demand)-j.Objective)
		assert.LessOrEqual(t, v.Return, s.EstimatedWait(quote.Demand)+returnSpread)
		times = append(times, v.Return)
	}
	slices.Sort(times)
	assert.Greater(t, times[150]-times[50], returnSpread/3)
	assert.LessOrEqual(t, Decide(ServiceLoad{LateBacklog: time.Second}, quote).Return, returnMost+returnSpread, "also for a service without servers")
}

// TestACallerThatReturnsAsToldIsMeasuredAnew guards against a caller who is told to come back and is then refused because so much time has passed.
func TestACallerThatReturnsAsToldIsMeasuredAnew(t *testing.T) {
	s := ServiceLoad{Servers: 10, Backlog: 5 * time.Second, LateBacklog: 60 * time.Second}
	j := quote
	j.Elapsed, j.ScheduledRetry = 4*time.Second, true
	assert.True(t, Decide(s, j).Accepted)
}

// task is a job of one task in the replay.
type task struct {
	id            string
	came, expires time.Duration
	takes         time.Duration
}

// late returns 1 for a task that can't be on time any more, if these come last.
func (k task) late(now time.Duration, last bool) int {
	if last && now+700*time.Millisecond > k.expires {
		return 1
	}
	return 0
}

// replay runs a turn of a service: little demand, then five times its mean for four seconds, then little again. It returns the shares that were on
// time and refused. decide says whether a job is accepted; jobs run in the order in which they came.
func replay(t *testing.T, lateLast bool, decide func(s ServiceLoad, j Job) Verdict) (onTime, refused float64) {
	t.Helper()
	const (
		servers = 100
		step    = 10 * time.Millisecond
		runs    = 700 * time.Millisecond
		ends    = 14 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	var queue []task
	running := []time.Duration{} // until when each busy server is busy
	all, good, turned := 0, 0, 0
	for now := time.Duration(0); now < ends; now += step {
		rate := 30.0 // jobs a second; 100 servers do 142
		if now > 3*time.Second && now < 7*time.Second {
			rate = 400
		}
		running = slices.DeleteFunc(running, func(until time.Duration) bool { return until <= now })
		for range int(rate*step.Seconds() + rng.Float64()) {
			all++
			takes := time.Duration(float64(runs) * (0.5 + rng.Float64()))
			j := Job{ID: fmt.Sprint(all), Demand: 1, CriticalPath: runs, Objective: runs*16/10 + 600*time.Millisecond}
			var backlog, late time.Duration
			for _, q := range queue {
				if q.expires > now+runs {
					backlog += runs
				} else {
					late += runs
				}
			}
			s := ServiceLoad{Servers: servers / packing, FreeServers: float64(servers-len(running)) / packing, WaitingDemand: float64(len(queue)), Backlog: backlog, LateBacklog: late}
			if !decide(s, j).Accepted {
				turned++
				continue
			}
			queue = append(queue, task{j.ID, now, now + j.Objective, takes})
		}
		slices.SortStableFunc(queue, func(a, b task) int {
			return cmp.Or(cmp.Compare(a.late(now, lateLast), b.late(now, lateLast)), cmp.Compare(a.came, b.came))
		})
		for len(queue) > 0 && len(running) < servers {
			if now+queue[0].takes <= queue[0].expires {
				good++
			}
			running = append(running, now+queue[0].takes)
			queue = queue[1:]
		}
	}
	return float64(good) / float64(all), float64(turned) / float64(all)
}

// TestReplayOfATurn guards against a policy that serves fewer jobs on time than accepting all of them in the order in which they come, or that
// refuses more than doesn't fit.
func TestReplayOfATurn(t *testing.T) {
	all := func(ServiceLoad, Job) Verdict { return Verdict{Accepted: true} }
	plain, _ := replay(t, false, all)
	ordered, _ := replay(t, true, all)
	onTime, refused := replay(t, true, Decide)
	t.Logf("on time: %.3f accepting all in their order, %.3f late ones last, %.3f turning away; refused %.3f", plain, ordered, onTime, refused)
	assert.Greater(t, onTime, plain+0.1)
	assert.GreaterOrEqual(t, onTime, ordered-0.02, "refusing costs no job that could be on time")
	assert.Less(t, refused, 1-ordered, "only what would be late")
	assert.Greater(t, refused, 0.1, "what would wait for long is told at once")
}
