package routing

import (
	"slices"
	"time"
)

// Bounds of what RunTimes remembers: 32 durations for each of 1,024 queues and teams are 256 KB.
const (
	runTimeWindow  = 32
	runTimeMaxKeys = 1024
	// runTimeQuantile is the part of recent tasks, in percent, that ended within the estimate.
	runTimeQuantile = 90
	// runTimeTrust is how long after the newest task the run times may refuse requests. Refused requests teach nothing, so without it a
	// queue whose servers were slow for a while would refuse for long after.
	runTimeTrust = 30 * time.Second
	// runTimeLeast is the number of tasks that must have run before their run times may refuse requests: one slow task proves nothing.
	runTimeLeast = 5
)

// RunTimes learns how long the tasks of a queue and team run, because declared run times can be far off.
type RunTimes struct {
	seen map[runTimeKey]*runTimeRing
	tick uint64
}

type runTimeKey struct{ queue, team string }

// runTimeRing holds the newest run times of one queue and team.
type runTimeRing struct {
	times    [runTimeWindow]time.Duration
	count    int // run times noted so far
	doubts   int // refusals since the newest run time
	newestAt time.Time
	used     uint64
}

// NewRunTimes returns a RunTimes that has seen no task.
func NewRunTimes() *RunTimes { return &RunTimes{seen: map[runTimeKey]*runTimeRing{}} }

// Observe notes the run time of a task that ended now.
func (r *RunTimes) Observe(queue, team string, d time.Duration, now time.Time) {
	key := runTimeKey{queue, team}
	ring, ok := r.seen[key]
	if !ok {
		r.makeRoom()
		ring = &runTimeRing{}
		r.seen[key] = ring
	}
	r.tick++
	ring.used = r.tick
	ring.times[ring.count%runTimeWindow] = d
	ring.count++
	ring.doubts = 0
	ring.newestAt = now
}

// Learned reports whether the estimate comes from enough tasks that ran lately, and not from a declaration or from long ago.
func (r *RunTimes) Learned(queue, team string, now time.Time) bool {
	ring, ok := r.seen[runTimeKey{queue, team}]
	return ok && ring.count >= runTimeLeast && now.Sub(ring.newestAt) <= runTimeTrust
}

// NoteRefusal notes that a request was refused because its estimated run time alone is longer than the time it has. Refused requests
// teach nothing, so after as many as the window holds what was learned is forgotten, and the next request is a trial. Otherwise tasks
// that were slow for a while would be refused for ever.
func (r *RunTimes) NoteRefusal(queue, team string) {
	key := runTimeKey{queue, team}
	ring, ok := r.seen[key]
	if !ok {
		return
	}
	ring.doubts++
	if ring.doubts >= runTimeWindow {
		delete(r.seen, key)
	}
}

// makeRoom forgets the queue and team that was seen least recently if there are too many.
func (r *RunTimes) makeRoom() {
	if len(r.seen) < runTimeMaxKeys {
		return
	}
	var oldest runTimeKey
	least := r.tick + 1
	for key, ring := range r.seen {
		if ring.used < least {
			oldest, least = key, ring.used
		}
	}
	delete(r.seen, oldest)
}

func (r *runTimeRing) newest() []time.Duration { return r.times[:min(r.count, runTimeWindow)] }

// Estimate returns the run time within which 90% of the newest tasks ended, or the declared one before the first task. It suits
// the question whether a request ends before its deadline.
func (r *RunTimes) Estimate(queue, team string, declared time.Duration) time.Duration {
	ring, ok := r.seen[runTimeKey{queue, team}]
	if !ok {
		return declared
	}
	sorted := slices.Sorted(slices.Values(ring.newest()))
	return sorted[(len(sorted)*runTimeQuantile-1)/100]
}

// Shortest returns the shortest run time of the newest tasks, or the declared one before the first task. It suits the question whether a request
// that could start at once is hopeless.
func (r *RunTimes) Shortest(queue, team string, declared time.Duration) time.Duration {
	ring, ok := r.seen[runTimeKey{queue, team}]
	if !ok {
		return declared
	}
	return slices.Min(ring.newest())
}

// Mean returns the mean run time of the newest tasks, or the declared one before the first task. It suits the question how fast
// a queue empties.
func (r *RunTimes) Mean(queue, team string, declared time.Duration) time.Duration {
	ring, ok := r.seen[runTimeKey{queue, team}]
	if !ok {
		return declared
	}
	var sum time.Duration
	for _, d := range ring.newest() {
		sum += d
	}
	return sum / time.Duration(len(ring.newest()))
}
