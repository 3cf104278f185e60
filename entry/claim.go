package entry

import (
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// pendingClaim is a claim that was submitted and is not settled. Once its call has given up, the claim is closed as soon as
// it is confirmed, and no later attempt takes it over: a close of the same id may be queued behind it.
type pendingClaim struct {
	settled   chan struct{}
	result    fleet.Result // set before settled is closed
	abandoned bool         // guarded by Engine.mu
}

// claim claims the id of a call in the log. The wait for the log outlives the call.
func (e *Engine) claim(c *call) (Response, bool) {
	if held, ok := e.heldClaim(c); ok {
		return e.claimedAnswer(c.ctx, c, held), false
	}
	p, mine := e.pendingFor(c)
	if p == nil {
		return failed(errkind.ClaimUnconfirmed, "too many claims wait for the log"), false
	}
	select {
	case <-p.settled:
	case <-c.ctx.Done():
		if !mine || e.abandon(p) {
			return failed(errkind.ClaimUnconfirmed, "the log did not confirm the claim before the deadline"), false
		}
	}
	if mine {
		return e.claimResult(c, p.result)
	}
	if held, ok := e.heldClaim(c); ok {
		return e.claimedAnswer(c.ctx, c, held), false
	}
	return failed(errkind.ClaimUnconfirmed, "an earlier claim of the same id is not confirmed"), false
}

// pendingFor submits a claim for the call, or returns the one that an earlier attempt left behind. It returns nil if too many
// claims wait for the log.
func (e *Engine) pendingFor(c *call) (p *pendingClaim, mine bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.pending[c.key()]; ok {
		return p, false
	}
	if len(e.pending) >= e.options.Admission.MaxWaiting {
		return nil, false
	}
	p = &pendingClaim{settled: make(chan struct{})}
	e.pending[c.key()] = p
	e.goJob(func() { e.submitClaim(c, p) })
	return p, true
}

// abandon gives a pending claim up. It reports false if the claim is settled.
func (e *Engine) abandon(p *pendingClaim) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-p.settled:
		return false
	default:
		p.abandoned = true
		return true
	}
}

func (e *Engine) submitClaim(c *call, p *pendingClaim) {
	results, err := e.options.Submitter.Submit(e.base, claimCommand(c))
	if err != nil {
		results = []fleet.Result{{Kind: errkind.ClaimUnconfirmed, Message: err.Error()}}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p.result = results[0]
	if p.abandoned && p.result.OK() {
		e.mu.Unlock()
		e.submitLate(closeCommand(c))
		e.mu.Lock()
	}
	delete(e.pending, c.key())
	close(p.settled)
}

// submitLate puts a command into the log for which nobody waits.
func (e *Engine) submitLate(command fleet.Command) {
	// An error means that the engine ends; the id then stays claimed, which is answered as unknown.
	_, _ = e.options.Submitter.Submit(e.base, command)
}

func (e *Engine) claimResult(c *call, r fleet.Result) (Response, bool) {
	switch {
	case r.OK():
		c.claimed = true
		return Response{}, true
	case r.Claim != nil:
		return e.claimedAnswer(c.ctx, c, *r.Claim), false
	case r.Kind == errkind.IDExpired:
		return failure(r.Err()), false
	}
	return failed(errkind.ClaimUnconfirmed, "%s", r.Message), false
}

func claimCommand(c *call) fleet.Command {
	return fleet.Command{Claim: &fleet.MakeClaim{Team: c.scope, RequestID: c.req.ID}}
}

func closeCommand(c *call) fleet.Command {
	return fleet.Command{Close: &fleet.CloseClaim{Team: c.scope, RequestID: c.req.ID}}
}

// heldClaim returns the claim of the call's id in the fold. The fold accepts a repeated claim by the same writer, so the engine
// must look before it claims: a claim of its own from an earlier attempt bars a second run.
func (e *Engine) heldClaim(c *call) (fleet.Claim, bool) {
	var held fleet.Claim
	var ok bool
	e.options.Store.View(func(s *fleet.State) { held, ok = s.Claims.Lookup(c.scope, c.req.ID) })
	return held, ok
}
