package routing

import "time"

// runTimeWeight is the weight of a new observation: one part in this number.
const runTimeWeight = 8

// RunTimes learns how long the tasks of a queue and team run, because declared run times can be far off.
type RunTimes struct {
	seen map[runTimeKey]time.Duration
}

type runTimeKey struct{ queue, team string }

// NewRunTimes returns a RunTimes that has seen no task.
func NewRunTimes() *RunTimes { return &RunTimes{seen: map[runTimeKey]time.Duration{}} }

// Observe notes the run time of a task.
func (r *RunTimes) Observe(queue, team string, d time.Duration) {
	key := runTimeKey{queue, team}
	old, ok := r.seen[key]
	if !ok {
		r.seen[key] = d
		return
	}
	r.seen[key] = old + (d-old)/runTimeWeight
}

// Estimate returns the learned run time, or the declared one before the first task.
func (r *RunTimes) Estimate(queue, team string, declared time.Duration) time.Duration {
	if d, ok := r.seen[runTimeKey{queue, team}]; ok {
		return d
	}
	return declared
}
