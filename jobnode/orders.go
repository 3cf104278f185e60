package jobnode

import (
	"context"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
)

// maxWarmUpRenewals bounds the extra renewals on a server on which a long-running task has started.
const maxWarmUpRenewals = 6

// sendOrders carries out each order in its own goroutine, because servers answer in any order.
func (d *dispatcher) sendOrders(orders []dispatch.Order) {
	for _, o := range orders {
		go d.guard("order", func() { d.sendOrder(o) })
	}
}

func (d *dispatcher) sendOrder(o dispatch.Order) {
	ctx := context.Background()
	if !d.canSendOrders() {
		d.returnUnsent(o)
		return
	}
	switch {
	case o.Start != nil:
		result := d.servers.Start(ctx, o.Server, *o.Start)
		if result == jobs.StartFenced {
			d.tokenRefused(o.Server.ID, o.Start.Fence)
		}
		d.update(func(c *dispatch.Core) { c.StartAnswered(o.Server, o.Start.Task.String(), o.Start.Attempt, result) })
		if result == jobs.Started && o.Start.LongRunning {
			go d.guard("start", func() { d.watchWarmUp(o.Server.ID) })
		}
		if result != jobs.Started {
			events.Log(d.log, events.StartRefused, o.Start.Task.String(), o.Server.ID, int(result))
			d.wakeUp()
		}
	case o.Stop != nil:
		if !d.permits(func(c *dispatch.Core) bool { return c.MaySendStop(o.Server.ID, o.Stop.Task, o.Stop.Attempt) }) {
			return
		}
		ok := d.servers.Stop(ctx, o.Server, o.Stop.Task, o.Stop.Attempt, o.Stop.Fence)
		d.update(func(c *dispatch.Core) { c.StopAnswered(o.Server, o.Stop.Task, o.Stop.Attempt, ok) })
	case o.Pace != nil:
		if !d.servers.Pace(ctx, o.Server, o.Pace.Task, o.Pace.Attempt, o.Pace.Fence, o.Pace.Percent) {
			d.update(func(c *dispatch.Core) { c.PaceUnanswered(o.Server.ID, o.Pace.Task, o.Pace.Attempt) })
		}
	}
}

// watchWarmUp renews a server on which a long-running task has started until that task is serving. A renewal that is already waiting would show
// this only a second later, and no other task of its step may be unavailable before.
func (d *dispatcher) watchWarmUp(server string) {
	for range maxWarmUpRenewals {
		sleep(context.Background(), dispatch.WarmUpWait)
		d.mu.Lock()
		r, ok := d.core.NextLook(server)
		d.mu.Unlock()
		if !ok || !r.WarmingUp || !d.canSendOrders() {
			return
		}
		d.renew(context.Background(), server, r, boottime.Now())
	}
}

// returnUnsent returns a task to the core whose start was decided but not sent.
func (d *dispatcher) returnUnsent(o dispatch.Order) {
	if o.Start != nil {
		d.update(func(c *dispatch.Core) {
			c.StartAnswered(o.Server, o.Start.Task.String(), o.Start.Attempt, jobs.StartUnhealthy)
		})
	}
}
