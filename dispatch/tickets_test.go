package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
)

// policyWorld is a fleet whose queue allows only some servers to run a step. Tickets are valid for two seconds.
type policyWorld struct {
	*world
	allowed map[string]bool
	asked   []jobs.TicketRequest
	bad     []string
}

func newPolicyWorld(seed uint64, servers int, allowed ...string) *policyWorld {
	p := &policyWorld{world: newWorld(seed, servers), allowed: map[string]bool{}}
	for _, id := range allowed {
		p.allowed[id] = true
	}
	config := *p.config
	config.Routes = []jobs.Route{{Name: "q", Service: "pool", Policy: &jobs.Policy{Decision: 20 * time.Millisecond, Valid: 2 * time.Second}}}
	p.config = &config
	p.core.SetConfiguration(p.config)
	return p
}

// run lets time pass; one question is answered in each step, and each start has to carry the ticket of its server.
func (p *policyWorld) run(d time.Duration) {
	for until := p.now + d; p.now < until; {
		p.step()
		p.answerQuestion()
		p.core.Schedule()
		for _, o := range p.core.orders {
			if o.Start != nil && (o.Start.Ticket != "t-"+o.Server.ID || !p.allowed[o.Server.ID]) {
				p.bad = append(p.bad, fmt.Sprintf("%s on %s with %q", o.Start.Task, o.Server.ID, o.Start.Ticket))
			}
		}
		p.send()
	}
}

func (p *policyWorld) answerQuestion() {
	q, _, ok := p.core.NextTicketRequest()
	if !ok {
		return
	}
	p.asked = append(p.asked, q)
	v := jobs.TicketGrant{Tickets: map[string]string{}, Valid: 2 * time.Second}
	for _, id := range q.Servers {
		if p.allowed[id] {
			v.Tickets[id] = "t-" + id
		}
	}
	p.core.TicketRequestAnswered(q, p.now, v)
}

// TestStepsOfAQueueWithAPolicyRunWhereTheyMay guards against tasks that wait for ever for a ticket that nobody fetches, and against starts
// that the servers reject.
func TestStepsOfAQueueWithAPolicyRunWhereTheyMay(t *testing.T) {
	p := newPolicyWorld(31, 5, "s1", "s3")
	p.submit(oldJob, stepOf(4, 1000), stepOf(2, 1000, 0))
	p.run(8 * time.Second)
	assert.Empty(t, p.bad)
	assert.Empty(t, p.faults)
	assert.Equal(t, jobs.Complete, p.phase(oldJob))
	assert.Equal(t, 6, p.starts)
	assert.LessOrEqual(t, len(p.asked), 4, "one question for each step, and few more")
	for _, q := range p.asked {
		assert.LessOrEqual(t, len(q.Servers), askMost)
	}
}

// TestATicketIsAskedForAgainWhenItHasRunOut guards against starts with a ticket that is no longer valid, and against questions on servers of
// which it is known that they may not run a step.
func TestATicketIsAskedForAgainWhenItHasRunOut(t *testing.T) {
	p := newPolicyWorld(32, 2, "s1")
	p.submit(oldJob, lasting())
	p.run(time.Second)
	require.Equal(t, 1, p.starts)
	require.Len(t, p.asked, 1)
	p.run(3 * time.Second)
	p.servers["s1"].end(oldJob+".0.0.0", jobs.EndFailed)
	p.run(time.Second)
	assert.Empty(t, p.bad)
	assert.Equal(t, 2, p.starts)
	require.Len(t, p.asked, 2)
	assert.Equal(t, []string{"s1"}, p.asked[1].Servers)
}

// TestARejectedTicketIsForgotten guards against a start that is sent again and again with a ticket that its server rejects.
func TestARejectedTicketIsForgotten(t *testing.T) {
	p := newPolicyWorld(33, 1, "s0")
	p.submit(oldJob, stepOf(1, 1000))
	for p.core.TakeOrders() == nil {
		p.step()
		p.answerQuestion()
		p.core.Schedule()
	}
	r := p.core.jobs[oldJob].occurrences[0].steps[0].tasks[0].run
	require.NotNil(t, r)
	p.core.StartAnswered("s0", oldJob+".0.0.0", r.attempt, jobs.StartNoTicket)
	p.core.Advance(p.now+time.Second, p.wall(), true)
	p.core.Schedule()
	assert.Empty(t, p.core.TakeOrders(), "not without another ticket")
	_, _, asks := p.core.NextTicketRequest()
	assert.True(t, asks)
}

// TestAQuestionWithoutAnAnswerIsRepeated guards against a step that waits for ever because one question was lost.
func TestAQuestionWithoutAnAnswerIsRepeated(t *testing.T) {
	p := newPolicyWorld(34, 1, "s0")
	p.submit(oldJob, stepOf(1, 1000))
	p.world.run(200 * time.Millisecond)
	q, _, ok := p.core.NextTicketRequest()
	require.True(t, ok)
	p.core.TicketRequestUnanswered(q)
	p.run(3 * time.Second)
	assert.Equal(t, jobs.Complete, p.phase(oldJob))
}
