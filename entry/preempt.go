package entry

import (
	"time"

	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
)

// preemptLocked checkpoints overnight tasks of this VM for urgent requests that have waited too long for a slot. Requests that wait for
// their team's limit are left out: a slot would not help them. Heartbeats carry neither the peers' overdue requests nor their overnight
// tasks, so the VM knows only its own of both: it makes room for its own requests from its own tasks.
func (e *Engine) preemptLocked(now time.Time) {
	overdue := map[string]int{}
	for _, c := range e.calls {
		limited := !e.holder.MayStart(c.team, now)
		if c.queue.Class == fleet.Urgent && now.Sub(c.began) > fairshare.PreemptAfter && !limited {
			overdue[c.queue.Pool]++
		}
	}
	shares := sharesOf(e.options.Store.Config())
	for pool, n := range overdue {
		_, free := capacityOf(e.candidatesLocked(pool, now))
		usage := e.sharesLocked(pool).usage.Excess(now)
		urgency := fairshare.UrgentLoad{Overdue: n, FreeSlots: free}
		for _, id := range fairshare.Preempt(urgency, e.overnightLocked(pool), usage, shares) {
			t := e.tasks[id]
			t.stopping = true
			go e.stopAbove(t)
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

// overnightLocked returns the overnight tasks of a pool. The slots of lost ones become free without a checkpoint.
func (e *Engine) overnightLocked(pool string) []fairshare.RunningTask {
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
