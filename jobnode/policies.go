package jobnode

import (
	"context"
	"time"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
)

// policyPollDelay is the delay between two checks whether tickets have to be requested.
const policyPollDelay = 10 * time.Millisecond

// requestTickets requests tickets for the steps of queues with a policy. The policy service answers one call of a node at a time, so each request
// waits for the previous answer, and is then for the most urgent step.
func (d *dispatcher) requestTickets(ctx context.Context) {
	if d.node.policies == nil {
		return
	}
	calls := dependencyLog{name: "service of the queues' policies", log: d.log}
	for ; ctx.Err() == nil; sleep(ctx, policyPollDelay) {
		for d.canSendOrders() && ctx.Err() == nil {
			var request jobs.TicketRequest
			var policy *jobs.Policy
			var found bool
			d.update(func(c *dispatch.Core) { request, policy, found = c.NextTicketRequest() })
			if !found {
				break
			}
			sentAt := boottime.Now()
			grant, err := d.node.policies.RequestTickets(ctx, request, policy.Decision+time.Duration(len(request.Servers))*policy.PerServer)
			calls.report(err)
			d.update(func(c *dispatch.Core) {
				if err != nil {
					c.TicketRequestUnanswered(request)
					return
				}
				c.TicketRequestAnswered(request, sentAt, grant)
			})
			d.wakeUp()
			if err != nil {
				break
			}
		}
	}
}
