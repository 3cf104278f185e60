package entry

import (
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// pendingClaim is a submitted claim whose result is not yet known. If its call stops waiting for it, the claim is abandoned: it is closed
// as soon as it is confirmed, and no later attempt may use it, because a close of the same id may be queued behind it.
type pendingClaim struct {
	settled   chan struct{}
	result    fleet.Result // set before settled is closed
	abandoned bool         // guarded by Engine.mu
}

// claim claims the id of a call in the log, and reports whether the call may run. The submission of the claim may outlive the call.
func (e *Engine) claim(c *call) (Response, bool) {
	if held, ok := e.existingClaim(c); ok {
		return e.claimedResponse(c.ctx, c, held), false
	}
	p, own := e.pendingFor(c)
	if p == nil {
		return newErrorResponse(errkind.ClaimUnconfirmed, "too many claims wait for the log"), false
	}
	select {
	case <-p.settled:
	case <-c.ctx.Done():
		if !own || e.abandon(p) {
			return newErrorResponse(errkind.ClaimUnconfirmed, "the log did not confirm the claim before the deadline"), false
		}
	}
	if own {
		return e.claimResult(c, p.result)
	}
	if held, ok := e.existingClaim(c); ok {
		return e.claimedResponse(c.ctx, c, held), false
	}
	return newErrorResponse(errkind.ClaimUnconfirmed, "an earlier claim of the same id is not confirmed"), false
}

// pendingFor submits a claim for the call and returns it with own set, or returns the pending claim of an earlier attempt. It returns nil
// if too many claims wait for the log.
func (e *Engine) pendingFor(c *call) (p *pendingClaim, own bool) {
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
	e.goBackground(func() { e.submitClaim(c, p) })
	return p, true
}

// abandon marks a pending claim as abandoned. It reports false if the claim is already settled.
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
	results, err := e.options.Submitter.Submit(e.baseCtx, claimCommand(c))
	if err != nil {
		results = []fleet.Result{{Kind: errkind.ClaimUnconfirmed, Message: err.Error()}}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p.result = results[0]
	if p.abandoned && p.result.OK() {
		e.mu.Unlock()
		e.submitUnawaited(closeCommand(c))
		e.mu.Lock()
	}
	delete(e.pending, c.key())
	close(p.settled)
}

// submitUnawaited submits a command whose result no call waits for.
func (e *Engine) submitUnawaited(command fleet.Command) {
	// An error means that the engine is stopping. The id then stays claimed, and its outcome is answered as unknown.
	_, _ = e.options.Submitter.Submit(e.baseCtx, command)
}

func (e *Engine) claimResult(c *call, r fleet.Result) (Response, bool) {
	switch {
	case r.OK():
		c.claimed = true
		return Response{}, true
	case r.Claim != nil:
		return e.claimedResponse(c.ctx, c, *r.Claim), false
	case r.Kind == errkind.IDExpired:
		return errorResponse(r.Err()), false
	}
	return newErrorResponse(errkind.ClaimUnconfirmed, "%s", r.Message), false
}

func claimCommand(c *call) fleet.Command {
	return fleet.Command{Claim: &fleet.MakeClaim{Team: c.scope, RequestID: c.req.ID}}
}

func closeCommand(c *call) fleet.Command {
	return fleet.Command{Close: &fleet.CloseClaim{Team: c.scope, RequestID: c.req.ID}}
}

// existingClaim returns the claim of the call's id in the fold. The fold accepts a repeated claim by the same writer, so the engine
// must check before it claims: its own claim from an earlier attempt means that the id must not run again.
func (e *Engine) existingClaim(c *call) (fleet.Claim, bool) {
	var held fleet.Claim
	var ok bool
	e.options.Store.View(func(s *fleet.State) { held, ok = s.Claims.Lookup(c.scope, c.req.ID) })
	return held, ok
}
