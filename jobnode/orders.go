package jobnode

import (
	"context"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/jobs"
)

// startLooks bounds the looks at a server on which a long-running task has started.
const startLooks = 6

// send carries out orders, each on its own: servers answer in any order.
func (d *dispatcher) send(orders []dispatch.Order) {
	for _, o := range orders {
		go d.guard("order", func() { d.sendOne(o) })
	}
}

func (d *dispatcher) sendOne(o dispatch.Order) {
	ctx := context.Background()
	if !d.mayOrder() {
		d.notSent(o)
		return
	}
	switch {
	case o.Start != nil:
		result := d.servers.Start(ctx, o.Server, *o.Start)
		if result == jobs.StartFenced {
			d.deposed(o.Server.ID)
		}
		d.update(func(c *dispatch.Core) { c.StartAnswered(o.Server.ID, o.Start.Task.String(), o.Start.Attempt, result) })
		if result == jobs.Started && o.Start.LongRunning {
			go d.guard("start", func() { d.watchStart(o.Server.ID) })
		}
		if result != jobs.Started {
			events.Log(d.log, events.StartRefused, o.Start.Task.String(), o.Server.ID, int(result))
			d.wakeUp()
		}
	case o.Stop != nil:
		ok := d.servers.Stop(ctx, o.Server, o.Stop.Task, o.Stop.Attempt, d.place.Epoch)
		d.update(func(c *dispatch.Core) { c.StopAnswered(o.Server.ID, o.Stop.Task, o.Stop.Attempt, ok) })
	case o.Pace != nil:
		if !d.servers.Pace(ctx, o.Server, o.Pace.Task, o.Pace.Attempt, d.place.Epoch, o.Pace.Percent) {
			d.update(func(c *dispatch.Core) { c.PaceUnanswered(o.Server.ID, o.Pace.Task, o.Pace.Attempt) })
		}
	}
}

// watchStart looks at a server on which a long-running task has started until it is at work, since a renewal that is on its way shows it only
// a second later, and the next task of its step can't be spared before.
func (d *dispatcher) watchStart(server string) {
	for range startLooks {
		sleep(context.Background(), renewRising)
		d.mu.Lock()
		r, ok := d.core.NextRenewal(server)
		d.mu.Unlock()
		if !ok || !r.WarmingUp || !d.mayOrder() {
			return
		}
		r.LeaseUntil = 0
		d.renew(context.Background(), server, r)
	}
}

// notSent returns a task whose start was decided but not sent.
func (d *dispatcher) notSent(o dispatch.Order) {
	if o.Start != nil {
		d.update(func(c *dispatch.Core) {
			c.StartAnswered(o.Server.ID, o.Start.Task.String(), o.Start.Attempt, jobs.StartUnhealthy)
		})
	}
}
