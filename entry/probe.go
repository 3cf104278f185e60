package entry

import (
	"time"

	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/routing"
)

// minDispatchDelay is the shortest delay before a pool with waiting calls and no free slot is dispatched again. It limits the cost.
const minDispatchDelay = 10 * time.Millisecond

// probeLocked sends one waiting call of a pool to a server that has no free slot in this VM's view, because the view lags behind the ends
// of the peers' tasks. The interval between probes grows while they are refused.
func (e *Engine) probeLocked(pool string, q *fairshare.Queue, now time.Time) {
	servers := e.candidatesLocked(pool, now)
	if q.Len() == 0 || !peersMayHoldSlots(servers) {
		return
	}
	view := e.fairViewLocked(pool, servers, now)
	if view.FreeSlots > 0 {
		return // the calls wait for their teams' limits
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
	e.scheduleDispatchLocked(pool, max(after, minDispatchDelay))
}

// peersMayHoldSlots reports whether some server that is not ejected has fewer tasks of this VM than slots, so that peers hold the rest.
func peersMayHoldSlots(servers []routing.Server) bool {
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
	i, ok := routing.ChooseProbe(servers, c.exclude, e.rng)
	if !ok || e.keyRefusalLocked(c, now) != nil {
		q.Return(item)
		return
	}
	if !e.startTaskLocked(c, servers[i].Name, now) {
		q.Return(item)
		return
	}
	prober.Sent(now)
	c.isProbe = true
}

func (e *Engine) proberLocked(pool string) *routing.Prober {
	p, ok := e.probers[pool]
	if !ok {
		p = routing.NewProber(routing.MinProbeInterval, routing.MaxProbeInterval)
		e.probers[pool] = p
	}
	return p
}

// scheduleDispatchLocked schedules a dispatch of a pool. It does nothing if one is already scheduled.
func (e *Engine) scheduleDispatchLocked(pool string, after time.Duration) {
	if e.dispatchScheduled[pool] {
		return
	}
	e.dispatchScheduled[pool] = true
	time.AfterFunc(after, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.dispatchScheduled[pool] = false
		if e.baseCtx.Err() == nil {
			e.dispatchLocked(pool)
		}
	})
}

// recordSlotLocked updates the pool's prober and the server's full mark after a task has ended. taken is false if the server refused it.
func (e *Engine) recordSlotLocked(c *call, server string, taken bool) {
	if c.isProbe {
		e.proberLocked(c.queue.Pool).Completed(taken)
		c.isProbe = false
	}
	if taken {
		e.full.TaskEnded(server)
	}
}

// reportFailureLocked reports a failed task to the health of its server. If the same request fails on a second server, the request is the
// likelier cause: the first failure is retracted, and no more are reported.
func (e *Engine) reportFailureLocked(c *call, server string, now time.Time) {
	switch {
	case c.failedOn == "":
		c.failedOn = server
		e.reportHealthLocked(server, false, now)
	case c.failedOn != server && !c.failureRetracted:
		c.failureRetracted = true
		e.health.RetractFailure(c.failedOn)
		e.health.Inconclusive(server)
	default:
		e.health.Inconclusive(server)
	}
}

// reportHealthLocked reports the end of a task to the health of its server, which is judged among the servers of that server's pool.
func (e *Engine) reportHealthLocked(name string, ok bool, now time.Time) {
	if s, known := e.servers[name]; known {
		e.health.Report(name, ok, e.byPool[s.pool], now)
	}
}
