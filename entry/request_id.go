package entry

import (
	"context"
	"time"

	"example.org/comfreyrouter/claims"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/peer"
)

// takeID makes this call the only run of its id. With a refusal it closes the id instead. It returns false with the answer if the
// call must not run.
func (e *Engine) takeID(c *call, refusal error) (Response, bool) {
	switch {
	case c.kind == issuedHere:
		return e.beginIssued(c, refusal)
	case refusal != nil:
		return e.closeUnrun(c, refusal), false
	case c.kind == chosen:
		return e.claim(c)
	}
	return Response{}, true
}

// beginIssued takes an id that this VM issued. A refused id stays closed, because the caller is told that it did not run.
func (e *Engine) beginIssued(c *call, refusal error) (Response, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.issuer.Begin(c.scope, c.issued); err != nil {
		return withheld(e.issuedAnswerLocked(c.scope, c.issued, err), refusal), false
	}
	if refusal != nil {
		e.issuer.Finish(c.issued, errkind.NotRun)
		return failure(refusal), false
	}
	return Response{}, true
}

// issuedAnswerLocked answers for an id that cannot begin.
func (e *Engine) issuedAnswerLocked(scope string, id claims.IssuedID, err error) Response {
	if errkind.Of(err) != errkind.ClaimedElsewhere {
		return failure(err)
	}
	outcome, _ := e.issuer.Outcome(scope, id)
	return e.recorded(outcome)
}

// recorded is the answer for an id of which only the recorded outcome is known.
func (e *Engine) recorded(outcome errkind.Outcome) Response {
	switch outcome {
	case errkind.Done:
		return failed(errkind.ResultGone, "the request is done, but its answer is no longer kept")
	case errkind.NotRun:
		return failed(errkind.ClaimClosed, "the request id was closed without a run")
	}
	return failed(errkind.ClaimedElsewhere, "the outcome of the first attempt with this id is not known")
}

// claimedAnswer answers for an id that is claimed or closed already. It waits for the claimant's run until ctx ends.
func (e *Engine) claimedAnswer(ctx context.Context, c *call, held fleet.Claim) Response {
	if held.Claimant == "" || held.Claimant == e.options.Incarnation {
		return e.recorded(held.Outcome)
	}
	address, ok := e.peerAddress(held.Claimant)
	if !ok {
		return e.recorded(held.Outcome)
	}
	args := peer.ResultArgs{Team: c.scope, RequestID: c.req.ID}
	for pause := minResultPoll; ; pause = min(2*pause, maxResultPoll) {
		reply, err := e.options.Peers.Result(ctx, address, args)
		if err != nil || reply.Kind == errkind.RequestUnknown {
			return e.recorded(held.Outcome)
		}
		if reply.Outcome != errkind.Pending {
			return fromReply(reply)
		}
		if !sleep(ctx, pause) {
			return failed(errkind.RequestTimeout, "an earlier attempt with the same id has not ended yet")
		}
	}
}

// Pauses between questions to the VM that runs an earlier attempt.
const (
	minResultPoll = 20 * time.Millisecond
	maxResultPoll = time.Second
)

func fromReply(r peer.ResultReply) Response {
	return Response{Outcome: r.Outcome, Kind: r.Kind, Message: r.Message, Body: r.Body}
}

// closeUnrun answers a call that was not run. "Not run" is said of a non-repeatable request only after its id was closed.
func (e *Engine) closeUnrun(c *call, err error) Response {
	switch c.kind {
	case issuedHere:
		e.mu.Lock()
		e.issuer.Finish(c.issued, errkind.NotRun)
		e.mu.Unlock()
		return failure(err)
	case chosen:
		return e.closeChosen(c, err)
	}
	return failure(err)
}

func (e *Engine) closeChosen(c *call, cause error) Response {
	// The call's own context may have ended; the close has a bound of its own.
	ctx, cancel := context.WithTimeout(e.base, e.options.CloseTimeout)
	defer cancel()
	if held, ok := e.heldClaim(c); ok && !c.claimed {
		return withheld(e.claimedAnswer(ctx, c, held), cause)
	}
	results, err := e.options.Submitter.Submit(ctx, closeCommand(c))
	if err != nil {
		return withheld(failed(errkind.ClaimUnconfirmed, "not run, but the log did not confirm it: %v", cause), cause)
	}
	r := results[0]
	switch {
	case r.OK():
		return failure(cause)
	case r.Claim != nil:
		return withheld(e.claimedAnswer(ctx, c, *r.Claim), cause)
	case r.Kind == errkind.IDExpired:
		return withheld(failure(r.Err()), cause)
	}
	return withheld(failed(errkind.ClaimUnconfirmed, "%s", r.Message), cause)
}

// finish records the outcome of a call that was run.
func (e *Engine) finish(c *call, resp Response) Response {
	switch {
	case c.kind == issuedHere:
		e.mu.Lock()
		e.issuer.Finish(c.issued, resp.Outcome)
		e.mu.Unlock()
	case c.claimed:
		command := fleet.Command{Finish: &fleet.FinishClaim{Team: c.scope, RequestID: c.req.ID, Outcome: resp.Outcome}}
		e.goJob(func() { e.submitLate(command) })
	}
	return resp
}

// handleElsewhere sends a call to the VM that issued its id. A refused call is sent without time left, so that the issuer closes
// the id and "not run" is true.
func (e *Engine) handleElsewhere(ctx context.Context, c *call, refusal error) Response {
	if outcome, ok := e.leftIssuer(c.issued); ok {
		return withheld(e.recorded(outcome), refusal)
	}
	address, ok := e.peerAddress(c.issued.Incarnation)
	if !ok {
		return withheld(failed(errkind.IssuerUnreachable, "the entry VM that issued the id is not known"), refusal)
	}
	args := peer.ForwardArgs{
		Queue: c.req.Queue, Team: c.scope, KeyID: c.keyID, RequestID: c.req.ID,
		TimeLeft: time.Until(c.began.Add(c.req.TimeLeft)), Body: c.req.Body,
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
		return withheld(failed(errkind.IssuerUnreachable, "forwarding to the issuer failed: %v", err), refusal)
	case refusal != nil && reply.Outcome == errkind.NotRun:
		return failure(refusal)
	}
	return withheld(fromReply(reply), refusal)
}

// forwardAgainAfter is the pause before a request is forwarded once more: a new connection to a peer takes some milliseconds.
const forwardAgainAfter = 100 * time.Millisecond

// forward hands a call to its issuer, and once more if the connection failed: a heartbeat that gets no answer in time closes the connection for
// all calls on it. The issuer runs an id at most once and answers the second call with the outcome of the first.
func (e *Engine) forward(ctx context.Context, address string, args peer.ForwardArgs) (peer.ResultReply, error) {
	began := time.Now()
	reply, err := e.options.Peers.Forward(ctx, address, args)
	if err == nil || errkind.Of(err) != errkind.IssuerUnreachable || !sleep(ctx, forwardAgainAfter) {
		return reply, err
	}
	args.TimeLeft = max(0, args.TimeLeft-time.Since(began))
	return e.options.Peers.Forward(ctx, address, args)
}

// leftIssuer returns what an issuer that left recorded of an id.
func (e *Engine) leftIssuer(id claims.IssuedID) (outcome errkind.Outcome, ok bool) {
	e.options.Store.View(func(s *fleet.State) {
		outcome, ok = s.Issuers.Outcome(id.Incarnation, id.Number, id.String())
	})
	return outcome, ok
}

// peerAddress finds the address of another incarnation.
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
