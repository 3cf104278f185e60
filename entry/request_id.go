package entry

import (
	"context"
	"time"

	"example.org/comfreyrouter/claims"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/peer"
)

// acquireID makes this call the only one that may run its id. If refusal is set, it closes the id instead. It returns false with the
// response if the call must not run.
func (e *Engine) acquireID(c *call, refusal error) (Response, bool) {
	switch {
	case c.kind == issuedHere:
		return e.beginIssued(c, refusal)
	case refusal != nil:
		return e.closeNotRun(c, refusal), false
	case c.kind == callerChosen:
		return e.claim(c)
	}
	return Response{}, true
}

// beginIssued marks an id that this VM issued as begun. A refused id stays closed, because the caller is told that it did not run.
func (e *Engine) beginIssued(c *call, refusal error) (Response, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.issuer.Begin(c.scope, c.issued); err != nil {
		return withholdBody(e.issuedResponseLocked(c.scope, c.issued, err), refusal), false
	}
	if refusal != nil {
		e.issuer.Finish(c.issued, errkind.NotRun)
		return errorResponse(refusal), false
	}
	return Response{}, true
}

// issuedResponseLocked returns the response for an issued id that cannot begin.
func (e *Engine) issuedResponseLocked(scope string, id claims.IssuedID, err error) Response {
	if errkind.Of(err) != errkind.ClaimedElsewhere {
		return errorResponse(err)
	}
	outcome, _ := e.issuer.Outcome(scope, id)
	return e.recordedResponse(outcome)
}

// recordedResponse returns the response for an id of which only the recorded outcome is known.
func (e *Engine) recordedResponse(outcome errkind.Outcome) Response {
	switch outcome {
	case errkind.Done:
		return newErrorResponse(errkind.ResultGone, "the request is done, but its answer is no longer kept")
	case errkind.NotRun:
		return newErrorResponse(errkind.ClaimClosed, "the request id was closed without a run")
	}
	return newErrorResponse(errkind.ClaimedElsewhere, "the outcome of the first attempt with this id is not known")
}

// claimedResponse returns the response for an id that is already claimed or closed. It waits until ctx ends for a run on the claimant's VM.
func (e *Engine) claimedResponse(ctx context.Context, c *call, held fleet.Claim) Response {
	if held.Claimant == "" || held.Claimant == e.options.Incarnation {
		return e.recordedResponse(held.Outcome)
	}
	address, ok := e.peerAddress(held.Claimant)
	if !ok {
		return e.recordedResponse(held.Outcome)
	}
	args := peer.ResultArgs{Team: c.scope, RequestID: c.req.ID}
	for pause := minResultPoll; ; pause = min(2*pause, maxResultPoll) {
		reply, err := e.options.Peers.Result(ctx, address, args)
		if err != nil || reply.Kind == errkind.RequestUnknown {
			return e.recordedResponse(held.Outcome)
		}
		if reply.Outcome != errkind.Pending {
			return fromReply(reply)
		}
		if !sleep(ctx, pause) {
			return newErrorResponse(errkind.RequestTimeout, "an earlier attempt with the same id has not ended yet")
		}
	}
}

// Bounds of the polling interval for the result of an earlier attempt on another VM. It doubles from the first to the second.
const (
	minResultPoll = 20 * time.Millisecond
	maxResultPoll = time.Second
)

func fromReply(r peer.ResultReply) Response {
	return Response{Outcome: r.Outcome, Kind: r.Kind, Message: r.Message, Body: r.Body}
}

// closeNotRun returns the response to a call that was not run because of err. A non-repeatable request is answered as "not run" only after
// its id was closed.
func (e *Engine) closeNotRun(c *call, err error) Response {
	switch c.kind {
	case issuedHere:
		e.mu.Lock()
		e.issuer.Finish(c.issued, errkind.NotRun)
		e.mu.Unlock()
		return errorResponse(err)
	case callerChosen:
		return e.closeCallerChosen(c, err)
	}
	return errorResponse(err)
}

func (e *Engine) closeCallerChosen(c *call, cause error) Response {
	// The call's own context may have ended, so the close has its own timeout.
	ctx, cancel := context.WithTimeout(e.baseCtx, e.options.CloseTimeout)
	defer cancel()
	if held, ok := e.existingClaim(c); ok && !c.claimed {
		return withholdBody(e.claimedResponse(ctx, c, held), cause)
	}
	results, err := e.options.Submitter.Submit(ctx, closeCommand(c))
	if err != nil {
		return withholdBody(newErrorResponse(errkind.ClaimUnconfirmed, "not run, but the log did not confirm it: %v", cause), cause)
	}
	r := results[0]
	switch {
	case r.OK():
		return errorResponse(cause)
	case r.Claim != nil:
		return withholdBody(e.claimedResponse(ctx, c, *r.Claim), cause)
	case r.Kind == errkind.IDExpired:
		return withholdBody(errorResponse(r.Err()), cause)
	}
	return withholdBody(newErrorResponse(errkind.ClaimUnconfirmed, "%s", r.Message), cause)
}

// recordOutcome records the outcome of a call that was run, and returns resp.
func (e *Engine) recordOutcome(c *call, resp Response) Response {
	switch {
	case c.kind == issuedHere:
		e.mu.Lock()
		e.issuer.Finish(c.issued, resp.Outcome)
		e.mu.Unlock()
	case c.claimed:
		command := fleet.Command{Finish: &fleet.FinishClaim{Team: c.scope, RequestID: c.req.ID, Outcome: resp.Outcome}}
		e.goBackground(func() { e.submitUnawaited(command) })
	}
	return resp
}

// handleAtIssuer forwards a call to the VM that issued its id. A refused call is forwarded with no time left, so that the issuer closes
// the id and the response "not run" is true.
func (e *Engine) handleAtIssuer(ctx context.Context, c *call, refusal error) Response {
	if outcome, ok := e.departedIssuerOutcome(c.issued); ok {
		return withholdBody(e.recordedResponse(outcome), refusal)
	}
	address, ok := e.peerAddress(c.issued.Incarnation)
	if !ok {
		return withholdBody(newErrorResponse(errkind.IssuerUnreachable, "the entry VM that issued the id is not known"), refusal)
	}
	args := peer.ForwardArgs{
		Queue: c.req.Queue, Team: c.scope, KeyID: c.keyID, RequestID: c.req.ID,
		TimeLeft: time.Until(c.receivedAt.Add(c.req.TimeLeft)), Body: c.req.Body,
	}
	wait := max(0, args.TimeLeft) + e.options.CloseTimeout
	if refusal != nil {
		args.TimeLeft = 0
		args.Body = nil
		wait = e.options.CloseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply, err := e.forward(ctx, address, args)
	switch {
	case err != nil:
		return withholdBody(newErrorResponse(errkind.IssuerUnreachable, "forwarding to the issuer failed: %v", err), refusal)
	case refusal != nil && reply.Outcome == errkind.NotRun:
		return errorResponse(refusal)
	}
	return withholdBody(fromReply(reply), refusal)
}

// forwardRetryDelay is the delay before a request is forwarded again. A new connection to a peer takes some milliseconds.
const forwardRetryDelay = 100 * time.Millisecond

// forward sends a call to its issuer, and repeats it once if the connection failed: a heartbeat that times out closes the connection for
// all calls on it. The issuer runs an id at most once and answers the second call with the outcome of the first.
func (e *Engine) forward(ctx context.Context, address string, args peer.ForwardArgs) (peer.ResultReply, error) {
	began := time.Now()
	reply, err := e.options.Peers.Forward(ctx, address, args)
	if err == nil || errkind.Of(err) != errkind.IssuerUnreachable || !sleep(ctx, forwardRetryDelay) {
		return reply, err
	}
	args.TimeLeft = max(0, args.TimeLeft-time.Since(began))
	return e.options.Peers.Forward(ctx, address, args)
}

// departedIssuerOutcome returns the outcome of an id that was recorded when its issuer left the fleet.
func (e *Engine) departedIssuerOutcome(id claims.IssuedID) (outcome errkind.Outcome, ok bool) {
	e.options.Store.View(func(s *fleet.State) {
		outcome, ok = s.Issuers.Outcome(id.Incarnation, id.Number, id.String())
	})
	return outcome, ok
}

// peerAddress returns the peer address of another incarnation, from the peers' statuses or the fold.
func (e *Engine) peerAddress(incarnation string) (string, bool) {
	for _, p := range e.options.Peers.Statuses() {
		if p.Incarnation == incarnation {
			return p.PeerAddress, true
		}
	}
	var m fleet.Member
	var ok bool
	e.options.Store.View(func(s *fleet.State) { m, ok = s.Members[incarnation] })
	return m.PeerAddress, ok
}
