package entry

import (
	"time"

	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
)

// preemptLocked checkpoints overnight tasks of this VM to free slots for urgent requests that have waited longer than
// fairshare.PreemptAfter. Requests that wait for their team's limit are not counted, because a slot would not help them. Heartbeats
// report neither the peers' overdue requests nor their overnight tasks, so each VM frees slots for its own requests from its own tasks.
func (e *Engine) preemptLocked(now time.Time) {
	overdue := map[string]int{}
	for _, c := range e.calls {
		limited := !e.holder.MayStart(c.team, now)
		if c.queue.Class == fleet.Urgent && now.Sub(c.receivedAt) > fairshare.PreemptAfter && !limited {
			overdue[c.queue.Pool]++
		}
	}
	shares := sharesOf(e.options.Store.Config())
	for pool, n := range overdue {
		_, free := capacityOf(e.candidatesLocked(pool, now))
		usage := e.sharesLocked(pool).usage.Excess(now)
		load := fairshare.UrgentLoad{Overdue: n, FreeSlots: free}
		for _, id := range fairshare.Preempt(load, e.overnightTasksLocked(pool), usage, shares) {
			t := e.tasks[id]
			t.stopping = true
			go e.evictTask(t)
		}
	}
}

// evictFromLeavingLocked checkpoints this VM's overnight tasks on servers that are being drained or moved, so that the drain does not
// wait for them. They resume on another server.
func (e *Engine) evictFromLeavingLocked() {
	for _, t := range e.tasks {
		s, ok := e.servers[t.server]
		if !ok || !s.leaving || t.stopping || t.lost || t.call.queue.Class != fleet.Overnight {
			continue
		}
		t.stopping = true
		go e.evictTask(t)
	}
}

// overnightTasksLocked returns the overnight tasks of a pool. Lost ones count as checkpointing, because their slots become free anyway.
func (e *Engine) overnightTasksLocked(pool string) []fairshare.RunningTask {
	var tasks []fairshare.RunningTask
	for _, t := range e.tasks {
		if t.pool == pool && t.call.queue.Class == fleet.Overnight {
			tasks = append(tasks, fairshare.RunningTask{
				ID: t.id, Team: t.team, Started: t.startedAt, Checkpointing: t.stopping || t.lost,
			})
		}
	}
	return tasks
}
