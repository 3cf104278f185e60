package entry

import (
	"context"
	"slices"
	"time"

	"example.org/comfreyrouter/claims"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/keys"
	"example.org/comfreyrouter/peer"
)

// lookupTimeout limits a lookup, including the queries to peers.
const lookupTimeout = time.Second

// Lookup returns the outcome of a request, as far as it is known. Without a key it finds requests of open queues only.
func (e *Engine) Lookup(ctx context.Context, key, id string) Response {
	config := e.options.Store.Config()
	var scopes []string
	var refusal error
	if key != "" {
		who, err := keys.Authenticate(config, e.isWithdrawn, key)
		if who.Team == "" {
			return Response{RequestID: id, Outcome: errkind.Unknown, Kind: errkind.Of(err), Message: err.Error()}
		}
		if err == nil {
			err = e.checkFresh(config)
		}
		refusal = err
		scopes = append(scopes, who.Team)
	}
	scopes = append(scopes, openScopes(config)...)
	resp := e.lookup(ctx, scopes, id)
	resp = withholdBody(resp, refusal)
	resp.RequestID = id
	return resp
}

func openScopes(config *fleet.Config) []string {
	var scopes []string
	for name, q := range config.Queues {
		if q.Open {
			scopes = append(scopes, openScope+name)
		}
	}
	slices.Sort(scopes)
	return scopes
}

// lookup searches this VM's memory, the claims and the records of issuers that left, and then queries all peers.
func (e *Engine) lookup(ctx context.Context, scopes []string, id string) Response {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for _, scope := range scopes {
		if r := e.HandleResult(peer.ResultArgs{Team: scope, RequestID: id}); r.Kind != errkind.RequestUnknown {
			return fromReply(r)
		}
	}
	best := newErrorResponse(errkind.RequestUnknown, "nothing is known of request id %q", id)
	for _, scope := range scopes {
		c := &call{req: Request{ID: id}, scope: scope}
		if held, ok := e.existingClaim(c); ok {
			best = e.recordedResponse(held.Outcome)
			if held.Outcome == errkind.NotRun {
				return best
			}
		}
	}
	if issued, ok := claims.ParseIssued(id); ok {
		if outcome, ok := e.departedIssuerOutcome(issued); ok {
			return e.recordedResponse(outcome)
		}
	}
	if found, ok := e.askPeers(ctx, scopes, id); ok {
		return found
	}
	return best
}

// askPeers queries all peers at once and returns the first response from one that knows the id.
func (e *Engine) askPeers(ctx context.Context, scopes []string, id string) (Response, bool) {
	statuses := e.options.Peers.Statuses()
	replies := make(chan peer.ResultReply, len(statuses))
	for _, p := range statuses {
		go func() { replies <- e.askPeer(ctx, p.PeerAddress, scopes, id) }()
	}
	for range statuses {
		if r := <-replies; r.Kind != errkind.RequestUnknown {
			return fromReply(r), true
		}
	}
	return Response{}, false
}

func (e *Engine) askPeer(ctx context.Context, address string, scopes []string, id string) peer.ResultReply {
	for _, scope := range scopes {
		r, err := e.options.Peers.Result(ctx, address, peer.ResultArgs{Team: scope, RequestID: id})
		if err == nil && r.Kind != errkind.RequestUnknown {
			return r
		}
	}
	return peer.ResultReply{Kind: errkind.RequestUnknown, Outcome: errkind.Unknown}
}

// HandleResult answers a peer's query about a request from this VM's memory.
func (e *Engine) HandleResult(args peer.ResultArgs) peer.ResultReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.inFlight[args.Team+"/"+args.RequestID]; ok {
		return peer.ResultReply{Outcome: errkind.Pending}
	}
	if r, ok := e.results.Get(args.Team, args.RequestID); ok {
		return peer.ResultReply{Outcome: r.Outcome, Kind: r.Kind, Message: r.Message, Body: r.Body}
	}
	if id, ok := claims.ParseIssued(args.RequestID); ok && id.Incarnation == e.options.Incarnation {
		if outcome, begun := e.issuer.Outcome(args.Team, id); begun {
			return toReply(e.recordedResponse(outcome))
		}
	}
	return toReply(newErrorResponse(errkind.RequestUnknown, "nothing is known of request id %q", args.RequestID))
}

func toReply(r Response) peer.ResultReply {
	return peer.ResultReply{Outcome: r.Outcome, Kind: r.Kind, Message: r.Message, Body: r.Body}
}

// HandleForward handles a request that a peer forwarded because this VM issued its id. The peer has authenticated the team.
func (e *Engine) HandleForward(ctx context.Context, args peer.ForwardArgs) peer.ResultReply {
	c := &call{receivedAt: time.Now(), scope: args.Team, team: args.Team, keyID: args.KeyID, req: Request{
		Queue: args.Queue, ID: args.RequestID, Repeatable: args.Repeatable, TimeLeft: args.TimeLeft, Body: args.Body,
	}}
	var err error
	queue, found := e.options.Store.Config().Queues[args.Queue]
	c.queue = queue
	switch {
	case !found:
		err = errkind.New(errkind.QueueUnknown, "queue %q does not exist", args.Queue)
	case queue.Open:
		c.team = queue.Team
	}
	if id, ok := claims.ParseIssued(args.RequestID); !ok || id.Incarnation != e.options.Incarnation {
		return toReply(newErrorResponse(errkind.RequestUnknown, "request id %q was not issued by this incarnation", args.RequestID))
	}
	return toReply(e.handle(ctx, c, err))
}

// maxIssueCount is the largest number of ids that one call of IssueIDs returns.
const maxIssueCount = 1000

// IssueIDs returns n request ids that only this VM may run, for the key's team, or for an open queue.
func (e *Engine) IssueIDs(_ context.Context, key, queue string, n int) ([]string, error) {
	if n < 1 || n > maxIssueCount {
		return nil, errkind.New(errkind.BadRequest, "count is %d, but must be 1 to %d", n, maxIssueCount)
	}
	c := &call{req: Request{Key: key, Queue: queue}}
	err := e.identify(c)
	if err != nil && (queue != "" || errkind.Of(err) != errkind.QueueUnknown) {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shuttingDown {
		return nil, errkind.New(errkind.ShuttingDown, "this entry VM is shutting down")
	}
	return e.issuer.Issue(c.scope, n), nil
}
