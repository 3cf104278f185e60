package routing

import (
	"slices"
	"time"
)

// Bounds of the memory of RunTimes: 32 durations of 8 bytes for each of 1,024 pairs of queue and team take 256 KB.
const (
	runTimeWindow  = 32
	runTimeMaxKeys = 1024
	// runTimeQuantile is the percentage of recent tasks that ended within the estimate.
	runTimeQuantile = 90
	// runTimeMaxAge is how long after the newest task the run times may be used to refuse requests. Refused requests add no run
	// times, so without this bound a queue whose servers were slow for a while would go on refusing requests long afterwards.
	runTimeMaxAge = 30 * time.Second
	// runTimeMinTasks is the number of tasks that must have run before their run times may be used to refuse requests. A single
	// slow task is not enough evidence.
	runTimeMinTasks = 5
)

// RunTimes estimates how long the tasks of a queue and team run from recent tasks, because declared run times can be far off.
type RunTimes struct {
	rings map[runTimeKey]*runTimeRing
	tick  uint64 // number of observations, for the eviction of the oldest ring
}

type runTimeKey struct{ queue, team string }

// runTimeRing is a ring buffer of the newest run times of one queue and team.
type runTimeRing struct {
	times        [runTimeWindow]time.Duration
	count        int // run times recorded so far, also those that were overwritten
	refusals     int // refusals since the newest run time
	newestAt     time.Time
	lastObserved uint64 // value of RunTimes.tick at the newest run time
}

// NewRunTimes returns an empty RunTimes.
func NewRunTimes() *RunTimes { return &RunTimes{rings: map[runTimeKey]*runTimeRing{}} }

// Observe records the run time of a task that ended now.
func (r *RunTimes) Observe(queue, team string, d time.Duration, now time.Time) {
	key := runTimeKey{queue, team}
	ring, ok := r.rings[key]
	if !ok {
		r.evictOldest()
		ring = &runTimeRing{}
		r.rings[key] = ring
	}
	r.tick++
	ring.lastObserved = r.tick
	ring.times[ring.count%runTimeWindow] = d
	ring.count++
	ring.refusals = 0
	ring.newestAt = now
}

// Learned reports whether the estimate rests on enough recent tasks, rather than on a declaration or on tasks from long ago.
func (r *RunTimes) Learned(queue, team string, now time.Time) bool {
	ring, ok := r.rings[runTimeKey{queue, team}]
	return ok && ring.count >= runTimeMinTasks && now.Sub(ring.newestAt) <= runTimeMaxAge
}

// NoteRefusal records that a request was refused because its estimated run time alone exceeds the time left to its deadline.
// Refused requests add no run times, so after runTimeWindow refusals without a new run time the recorded ones are dropped, and the
// next request is a trial. Otherwise a queue whose tasks were slow for a while would be refused for ever.
func (r *RunTimes) NoteRefusal(queue, team string) {
	key := runTimeKey{queue, team}
	ring, ok := r.rings[key]
	if !ok {
		return
	}
	ring.refusals++
	if ring.refusals >= runTimeWindow {
		delete(r.rings, key)
	}
}

// evictOldest drops the queue and team whose newest run time is the oldest if there are runTimeMaxKeys of them.
func (r *RunTimes) evictOldest() {
	if len(r.rings) < runTimeMaxKeys {
		return
	}
	var oldest runTimeKey
	least := r.tick + 1
	for key, ring := range r.rings {
		if ring.lastObserved < least {
			oldest, least = key, ring.lastObserved
		}
	}
	delete(r.rings, oldest)
}

func (r *runTimeRing) newest() []time.Duration { return r.times[:min(r.count, runTimeWindow)] }

// Estimate returns the run time within which 90% of the newest tasks ended, or the declared run time if none is recorded. It is meant
// for deciding whether a request can end before its deadline.
func (r *RunTimes) Estimate(queue, team string, declared time.Duration) time.Duration {
	ring, ok := r.rings[runTimeKey{queue, team}]
	if !ok {
		return declared
	}
	sorted := slices.Sorted(slices.Values(ring.newest()))
	return sorted[(len(sorted)*runTimeQuantile-1)/100]
}

// Shortest returns the shortest run time of the newest tasks, or the declared run time if none is recorded. It is meant for deciding
// whether a request that could start at once has no chance to end before its deadline.
func (r *RunTimes) Shortest(queue, team string, declared time.Duration) time.Duration {
	ring, ok := r.rings[runTimeKey{queue, team}]
	if !ok {
		return declared
	}
	return slices.Min(ring.newest())
}

// Mean returns the mean run time of the newest tasks, or the declared run time if none is recorded. It is meant for estimating how
// fast a queue empties.
func (r *RunTimes) Mean(queue, team string, declared time.Duration) time.Duration {
	ring, ok := r.rings[runTimeKey{queue, team}]
	if !ok {
		return declared
	}
	var sum time.Duration
	for _, d := range ring.newest() {
		sum += d
	}
	return sum / time.Duration(len(ring.newest()))
}
