package jobnode

import (
	"context"
	"time"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
)

// policyPause is the pause between two looks at whether the policy of a queue has to be asked.
const policyPause = 10 * time.Millisecond

// askPolicies asks which servers may run the steps of queues with a policy. The service answers one call of a node at a time, so the most
// urgent step is asked for when the answer before has come.
func (d *dispatcher) askPolicies(ctx context.Context) {
	if d.node.policies == nil {
		return
	}
	calls := link{name: "service of the queues' policies", log: d.log}
	for ; ctx.Err() == nil; sleep(ctx, policyPause) {
		for d.mayOrder() && ctx.Err() == nil {
			var q jobs.TicketRequest
			var policy *jobs.Policy
			var found bool
			d.update(func(c *dispatch.Core) { q, policy, found = c.NextTicketRequest() })
			if !found {
				break
			}
			asked := boottime.Now()
			v, err := d.node.policies.RequestTickets(ctx, q, policy.Decision+time.Duration(len(q.Servers))*policy.PerServer)
			calls.report(err)
			d.update(func(c *dispatch.Core) {
				if err != nil {
					c.TicketRequestUnanswered(q)
					return
				}
				c.TicketRequestAnswered(q, asked, v)
			})
			d.wakeUp()
			if err != nil {
				break
			}
		}
	}
}
