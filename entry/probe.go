package entry

import (
	"time"

	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/routing"
)

// wakeAtLeast is the least pause before a pool with waiting calls and no free slot is looked at again, to bound the cost.
const wakeAtLeast = 10 * time.Millisecond

// probeLocked sends one waiting call of a pool to a server that has no free slot by the view, which lags behind the ends of the peers'
// tasks. The pause between probes grows while they are refused.
func (e *Engine) probeLocked(pool string, q *fairshare.Queue, now time.Time) {
	servers := e.candidatesLocked(pool, now)
	if q.Len() == 0 || !othersHold(servers) {
		return
	}
	view := e.fairViewLocked(pool, servers, now)
	if view.FreeSlots > 0 {
		return // the calls wait for their limits
	}
	prober := e.proberLocked(pool)
	if prober.Allowed(now) {
		view.FreeSlots = 1
		e.sendProbeLocked(q, servers, view, prober, now)
	}
	after := prober.NextAllowedAt().Sub(now)
	if after <= 0 {
		after = routing.FullMarkDuration // all servers are marked as full
	}
	e.wakeLocked(pool, max(after, wakeAtLeast))
}

// othersHold reports whether a server is not full with this VM's tasks alone.
func othersHold(servers []routing.Server) bool {
	for _, s := range servers {
		if !s.Ejected && s.LocalTasks < s.Slots {
			return true
		}
	}
	return false
}

func (e *Engine) sendProbeLocked(q *fairshare.Queue, servers []routing.Server, view fairshare.View, prober *routing.Prober, now time.Time) {
	item, ok := q.Next(view)
	if !ok {
		return
	}
	c := e.calls[item.ID]
	i, ok := routing.ChooseProbe(servers, c.exclude, e.rnd)
	if !ok || e.keyRefusalLocked(c, now) != nil {
		q.Return(item)
		return
	}
	if !e.startLocked(c, servers[i].Name, now) {
		q.Return(item)
		return
	}
	prober.Sent(now)
	c.probe = true
}

func (e *Engine) proberLocked(pool string) *routing.Prober {
	p, ok := e.probers[pool]
	if !ok {
		p = routing.NewProber(routing.MinProbeInterval, routing.MaxProbeInterval)
		e.probers[pool] = p
	}
	return p
}

// wakeLocked dispatches a pool again later, once for all callers until then.
func (e *Engine) wakeLocked(pool string, after time.Duration) {
	if e.waking[pool] {
		return
	}
	e.waking[pool] = true
	time.AfterFunc(after, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.waking[pool] = false
		if e.base.Err() == nil {
			e.dispatchLocked(pool)
		}
	})
}

// slotKnownLocked takes what the end of a call's task tells about free slots.
func (e *Engine) slotKnownLocked(c *call, server string, taken bool) {
	if c.probe {
		e.proberLocked(c.queue.Pool).Completed(taken)
		c.probe = false
	}
	if taken {
		e.full.TaskEnded(server)
	}
}

// failedLocked notes a failure for the health of its server. A request that fails on a second server is the likelier cause: the first
// failure is taken back, and no more are reported.
func (e *Engine) failedLocked(c *call, server string, now time.Time) {
	switch {
	case c.failedOn == "":
		c.failedOn = server
		e.reportLocked(server, false, now)
	case c.failedOn != server && !c.retracted:
		c.retracted = true
		e.health.RetractFailure(c.failedOn)
		e.health.Inconclusive(server)
	default:
		e.health.Inconclusive(server)
	}
}

// reportLocked notes the end of a task for the health of its server, among the servers of the server's own pool.
func (e *Engine) reportLocked(name string, ok bool, now time.Time) {
	if s, known := e.servers[name]; known {
		e.health.Report(name, ok, e.byPool[s.pool], now)
	}
}
