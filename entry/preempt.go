package entry

import (
	"cmp"
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
)

// preemptAfter is how long urgent work waits before overnight work is checkpointed for it. Urgent work must start within 3.1 s.
const preemptAfter = time.Second

// preemptLocked checkpoints this VM's newest overnight tasks of a pool, one for each urgent request that has waited too long for
// a slot. Requests that wait for their team's limit are left out: a slot would not help them.
func (e *Engine) preemptLocked(now time.Time) {
	needed := map[string]int{}
	for _, c := range e.calls {
		limited := !e.holder.MayStart(c.team, now)
		if c.queue.Class == fleet.Urgent && now.Sub(c.began) > preemptAfter && !limited {
			needed[c.queue.Pool]++
		}
	}
	for pool, n := range needed {
		for _, t := range e.overnightLocked(pool) {
			if n <= 0 {
				break
			}
			n--
			if !t.stopping && !t.lost {
				t.stopping = true
				go e.stopAbove(t)
			}
		}
	}
}

// vacateLocked checkpoints this VM's overnight tasks on servers that are to be drained, so that a drain does not wait for them. They resume on
// another server.
func (e *Engine) vacateLocked() {
	for _, t := range e.tasks {
		s, ok := e.servers[t.server]
		if !ok || !s.leaving || t.stopping || t.lost || t.call.queue.Class != fleet.Overnight {
			continue
		}
		t.stopping = true
		go e.stopAbove(t)
	}
}

// overnightLocked returns the overnight tasks of a pool, those that are stopping already first, then the newest.
func (e *Engine) overnightLocked(pool string) []*task {
	var tasks []*task
	for _, t := range e.tasks {
		if t.pool == pool && t.call.queue.Class == fleet.Overnight {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		if a.stopping != b.stopping {
			if a.stopping {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.number, a.number)
	})
	return tasks
}
