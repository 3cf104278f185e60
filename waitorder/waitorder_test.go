package waitorder

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	taskTime  = 850 * time.Millisecond
	objective = 3700 * time.Millisecond // of a job of two steps
	places    = 160                     // tasks that run at a time
)

// replayJob is a job of two steps of eight tasks. The second step starts when the first is done.
type replayJob struct {
	workspace string
	beyond    bool // its workspace uses more than its share
	submitted time.Duration
	waiting   int // tasks of the present step that wait
	running   int
	step      int
	begun     bool
	endedAt   time.Duration
}

func (j *replayJob) position(now time.Duration) Position {
	remaining := time.Duration(2-j.step) * taskTime
	return Of(Job{Begun: j.begun, OverShare: j.beyond, Submitted: j.submitted, Parts: []Part{{Due: j.submitted, Objective: objective, Remaining: remaining}}}, now)
}

// outcomes counts jobs by what their results are worth to the callers.
type outcomes struct{ onTime, late, useless int }

// replay runs jobs that arrive at the given rates, one for each second, in jobs a second.
func replay(rates []float64, position func(*replayJob, time.Duration) Position, admits func(Room, Class) bool) outcomes {
	return replayShares(map[string][]float64{"w": rates}, nil, position, admits)["w"]
}

// replayShares runs the jobs of several workspaces, and returns the outcomes of each. Without weights no workspace has a share.
func replayShares(rates map[string][]float64, weights map[string]float64, position func(*replayJob, time.Duration) Position, admits func(Room, Class) bool) map[string]outcomes {
	const tick = 10 * time.Millisecond
	type run struct {
		job    *replayJob
		late   bool
		endsAt time.Duration
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var all, open []*replayJob
	var runs []run
	due := map[string]float64{}
	for now := time.Duration(0); now < 2*time.Minute; now += tick {
		for _, w := range slices.Sorted(maps.Keys(rates)) {
			if second := int(now / time.Second); second < len(rates[w]) {
				for due[w] += rates[w][second] * tick.Seconds(); due[w] >= 1; due[w]-- {
					j := &replayJob{workspace: w, submitted: now, waiting: 8}
					all, open = append(all, j), append(open, j)
				}
			}
		}
		runs = slices.DeleteFunc(runs, func(r run) bool {
			if r.endsAt > now {
				return false
			}
			if r.job.running--; r.job.running == 0 && r.job.waiting == 0 {
				r.job.step++
				r.job.waiting = 8
			}
			if r.job.step == 2 {
				r.job.waiting, r.job.endedAt = 0, now
			}
			return true
		})
		open = slices.DeleteFunc(open, func(j *replayJob) bool { return j.step == 2 })
		room := Room{Capacity: places, Used: int64(len(runs))}
		for _, r := range runs {
			if r.late {
				room.UsedLate++
			}
		}
		claims := map[string]Claim{}
		for _, j := range open {
			claims[j.workspace] = Claim{weights[j.workspace], claims[j.workspace].Used + int64(j.running)}
		}
		beyond := BeyondShare(claims)
		for _, j := range open {
			j.beyond = beyond[j.workspace]
		}
		slices.SortStableFunc(open, func(a, b *replayJob) int { return position(a, now).Compare(position(b, now)) })
		for _, j := range open {
			class := position(j, now).Class
			for admits(room, class) && j.waiting > 0 && room.Used < room.Capacity {
				j.waiting--
				j.running++
				j.begun = true
				room.Used++
				if class.Late() {
					room.UsedLate++
				}
				runs = append(runs, run{j, class.Late(), now + taskTime*time.Duration(80+rng.IntN(40))/100})
			}
		}
	}
	results := map[string]outcomes{}
	for _, j := range all {
		o := results[j.workspace]
		switch took := j.endedAt - j.submitted; {
		case j.endedAt > 0 && took <= objective:
			o.onTime++
		case j.endedAt > 0 && took <= MaxUsefulFactor*objective:
			o.late++
		default:
			o.useless++
		}
		results[j.workspace] = o
	}
	return results
}

// lateLast is the order in which what is late comes last, also if it has begun, by the time of submission, and always leaves a quarter of the pool
// free.
func lateLast(j *replayJob, now time.Duration) Position {
	p := j.position(now)
	switch p.Class {
	case BegunLate:
		p.Class, p.Key = Late, j.submitted
	case Overdue, Late:
		p.Class, p.Key = LateOverShare, j.submitted
	case LongRunning, Begun, OnTime, OverShare, LateOverShare, TooLate:
	}
	return p
}

func lateOnlyInFreeRoom(r Room, c Class) bool {
	return !c.Late() || float64(r.Capacity-r.Used) > reserve*float64(r.Capacity)
}

// rates returns the numbers of jobs a second for some seconds at one load, and for some at another, given as multiples of what the pool does.
func rates(first float64, seconds int, then float64, more int) []float64 {
	const full = places / 16 / 0.85 // jobs a second
	r := slices.Repeat([]float64{first * full}, seconds)
	return append(r, slices.Repeat([]float64{then * full}, more)...)
}

// TestTurnOfAQueue guards against jobs that were accepted and get no result of use although there is room for them: in the turn of a queue, which asks
// for more than its pool holds for a few seconds, late jobs waited behind all others, with a quarter of the pool free, until nobody needed their results.
func TestTurnOfAQueue(t *testing.T) {
	for name, load := range map[string][]float64{
		"a high peak and a lull":         rates(3, 4, 0.05, 12),
		"a peak and a lull":              rates(2, 6, 0.3, 12),
		"a low peak and a half-full day": rates(1.5, 8, 0.6, 12),
	} {
		t.Run(name, func(t *testing.T) {
			before := replay(load, lateLast, lateOnlyInFreeRoom)
			now := replay(load, (*replayJob).position, Room.Admits)
			t.Logf("late last: %+v, by use: %+v", before, now)
			assert.Less(t, 3*now.useless, before.useless)
			assert.GreaterOrEqual(t, now.onTime, before.onTime)
		})
	}
}

// TestLastingOverload guards against late jobs that displace others from their objectives while there is no room for all: each would make another job
// late, and no more jobs would get a result of use.
func TestLastingOverload(t *testing.T) {
	load := rates(2, 6, 0.97, 20)
	before := replay(load, lateLast, lateOnlyInFreeRoom)
	now := replay(load, (*replayJob).position, Room.Admits)
	assert.GreaterOrEqual(t, now.onTime, before.onTime)
	assert.LessOrEqual(t, now.useless, before.useless)
}

// TestWorkspaceFarBeyondItsUsual guards against a workspace that sends many times its usual, more than the pool does, and by that makes the jobs of others
// late. It pays for it itself, but gets all the room that others leave.
func TestWorkspaceFarBeyondItsUsual(t *testing.T) {
	usual := rates(0.2, 20, 0.2, 0)
	hot := append(rates(0.2, 4, 1.6, 6), rates(0.2, 10, 0, 0)...)
	load := map[string][]float64{"a": usual, "b": usual, "hot": hot}
	alone := replayShares(map[string][]float64{"a": usual, "b": usual, "hot": usual}, nil, (*replayJob).position, Room.Admits)
	before := replayShares(load, nil, (*replayJob).position, Room.Admits)
	now := replayShares(load, map[string]float64{"a": 1, "b": 1, "hot": 1}, (*replayJob).position, Room.Admits)
	t.Logf("no shares: %+v, shares: %+v", before, now)
	assert.Less(t, before["a"].onTime, alone["a"].onTime)
	assert.Equal(t, alone["a"], now["a"])
	assert.Equal(t, alone["b"], now["b"])
	total := func(o map[string]outcomes) int { return o["a"].onTime + o["b"].onTime + o["hot"].onTime }
	assert.GreaterOrEqual(t, total(now), total(before)*9/10)
}

func TestBeyondShare(t *testing.T) {
	beyond := BeyondShare(map[string]Claim{"small": {1, 10}, "large": {3, 25}, "waits": {1, 0}, "none": {0, 500}})
	assert.Equal(t, map[string]bool{"small": true, "large": true}, beyond)
	assert.Empty(t, BeyondShare(map[string]Claim{"alone": {1, 50}}), "what nobody else claims is its own")
	assert.Empty(t, BeyondShare(map[string]Claim{"a": {1, 20}, "b": {2, 40}}))
}

func TestClasses(t *testing.T) {
	part := func(age time.Duration) Job {
		return Job{Submitted: -age, Parts: []Part{{Due: -age, Objective: 3 * time.Second, Remaining: time.Second}}}
	}
	with := func(j Job, begun, overShare bool) Job {
		j.Begun, j.OverShare = begun, overShare
		return j
	}
	order := []Job{
		{LongRunning: true},
		with(part(1900*time.Millisecond), true, false),
		with(part(3*time.Second), true, true),
		part(time.Second),
		part(0),
		with(part(time.Second), false, true),
		part(6 * time.Second),
		with(part(5500*time.Millisecond), false, true),
		part(4 * time.Second),
		part(1900 * time.Millisecond), // too little slack to begin
		with(part(4*time.Second), false, true),
		with(part(9*time.Second), true, false),
		part(8500 * time.Millisecond),
	}
	classes := []Class{LongRunning, Begun, BegunLate, OnTime, OnTime, OverShare, Overdue, Overdue, Late, Late, LateOverShare, TooLate, TooLate}
	for i, j := range order {
		p := Of(j, 0)
		assert.Equal(t, classes[i], p.Class, i)
		if i > 0 {
			assert.Negative(t, Of(order[i-1], 0).Compare(p), i)
		}
	}
}

// TestLateJobsLeaveAReserve guards against late jobs that fill a pool right before a peak, and against those that wait for ever because a pool is never
// empty enough.
func TestLateJobsLeaveAReserve(t *testing.T) {
	assert.True(t, Room{Capacity: 100, Used: 74, UsedLate: 74}.Admits(Late))
	assert.False(t, Room{Capacity: 100, Used: 75, UsedLate: 75}.Admits(Late))
	assert.True(t, Room{Capacity: 100, Used: 75, UsedLate: 75}.Admits(Overdue))
	assert.True(t, Room{Capacity: 100, Used: 90, UsedLate: 24}.Admits(TooLate))
	assert.False(t, Room{Capacity: 100, Used: 90, UsedLate: 25}.Admits(TooLate))
}
