package entry

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/claims"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/keys"
)

// Request is a caller's request.
type Request struct {
	Queue      string
	Key        string // empty if none was sent
	ID         string
	Repeatable bool
	TimeLeft   time.Duration // until the caller's deadline
	Body       []byte
	// Refusal is set for a request that is malformed. It is refused with this error, but what an earlier attempt with
	// its id did is still told truthfully.
	Refusal error
}

// Response is the answer to a request.
type Response struct {
	RequestID string
	Outcome   errkind.Outcome
	Kind      errkind.Kind // empty for a whole answer
	Message   string
	Body      []byte
}

func failure(err error) Response {
	k := errkind.Of(err)
	return Response{Outcome: errkind.Lookup(k).Outcome, Kind: k, Message: err.Error()}
}

func failed(k errkind.Kind, format string, args ...any) Response {
	return failure(errkind.New(k, format, args...))
}

// idKind tells what keeps a request from running twice.
type idKind int

const (
	repeatable idKind = iota
	chosen            // a ULID chosen by the caller, claimed in the log
	issuedHere
	issuedElsewhere
)

// call is one request on its way through the engine.
type call struct {
	req    Request
	kind   idKind
	issued claims.IssuedID
	queue  fleet.Queue
	team   string
	// scope is the name space of the id: the team of the key, or the open queue. Anybody may ask for the ids of an open
	// queue, so they are kept apart from those of the queue's team.
	scope string
	keyID string
	began time.Time
	ctx   context.Context // ends at the deadline or when the caller leaves

	resume  bool // the body is the state of a checkpointed run
	claimed bool // the claim is this VM's
	// confirmed says that the log confirmed, after the call had come, that its key is unknown or missing.
	confirmed bool
	attempts  int             // attempts that may have started
	refusals  int             // attempts refused before the start, in a row
	lastErr   error           // of the last attempt
	failure   error           // of the last attempt that may have started: a later refusal does not undo it
	exclude   map[string]bool // the server that failed last
	failedOn  string          // the server whose health has a failure of this call
	retracted bool            // that failure was taken back
	probe     bool            // the task was sent although no slot was free by the view; guarded by Engine.mu
	assigned  chan assignment
	item      fairshare.Item

	onServer bool // a task of this call may run; guarded by Engine.mu
}

func (c *call) key() string { return c.scope + "/" + c.req.ID }

// flight is a request in progress that later attempts with the same id wait for.
type flight struct {
	done chan struct{}
	resp Response // set before done is closed
}

// openScope is the prefix of the scopes of open queues.
const openScope = "open:"

var (
	errDeadline = errkind.New(errkind.DeadlinePast, "the deadline passed")
	errLeft     = errkind.New(errkind.Cancelled, "the caller left")
)

// Handle answers a request. It returns at the request's deadline, plus Options.CloseTimeout if an id must be closed, at the latest.
func (e *Engine) Handle(ctx context.Context, req Request) Response {
	c := &call{req: req, began: time.Now()}
	err := e.identify(c)
	if c.scope == "" && !req.Repeatable && e.caughtUp(ctx) == nil {
		c.confirmed = true
		err = e.identify(c)
	}
	resp := e.handle(ctx, c, err)
	resp.RequestID = req.ID
	if resp.Kind != "" {
		e.options.Counters.Refused(resp.Kind)
	}
	e.options.Counters.Finished(resp.Outcome, c.queue.Class)
	return resp
}

// handle answers a call that was identified, or refused with err.
func (e *Engine) handle(ctx context.Context, c *call, err error) Response {
	if c.scope == "" {
		return e.refuseUnidentified(c, err)
	}
	if err == nil {
		err = c.req.Refusal
	}
	if kindErr := c.classify(e.options.Incarnation); kindErr != nil {
		return failure(kindErr)
	}
	if c.kind == issuedElsewhere {
		return e.handleElsewhere(ctx, c, err)
	}
	deadline := c.began.Add(c.req.TimeLeft)
	timed, cancelTimed := context.WithDeadlineCause(e.base, deadline, errDeadline)
	callCtx, cancel := context.WithCancelCause(timed)
	c.ctx = callCtx
	release := func() {
		cancel(nil)
		cancelTimed()
	}
	for {
		f, mine, resp := e.enter(c, err)
		if f == nil {
			release()
			return resp
		}
		if mine {
			e.launch(c, f, err, release)
			return e.waitOwn(ctx, c, f, cancel)
		}
		resp, ok := waitOther(ctx, c, f)
		if !ok || c.kind != repeatable || resp.Outcome == errkind.Done {
			release()
			return withheld(resp, err)
		}
	}
}

// classify tells how the call is kept from running twice.
func (c *call) classify(self string) error {
	if c.req.Repeatable {
		return nil
	}
	if id, ok := claims.ParseIssued(c.req.ID); ok {
		c.issued = id
		c.kind = issuedElsewhere
		if id.Incarnation == self {
			c.kind = issuedHere
		}
		return nil
	}
	c.kind = chosen
	id, err := ulid.ParseStrict(c.req.ID)
	if err != nil {
		return errkind.New(errkind.BadRequest, "the request id of a non-repeatable request is neither a ULID nor an issued id")
	}
	if ahead := ulid.Time(id.Time()).Sub(c.began); ahead > maxIDAhead {
		return errkind.New(errkind.IDExpired, "the time in the request id is %v ahead", ahead)
	}
	return nil
}

// maxIDAhead bounds how far a ULID may be ahead of the VM's clock. The fold refuses all ids up to the highest time among dropped
// claims, so one id from the far future would bar all ids of other callers.
const maxIDAhead = time.Minute

// identify finds the queue, the team and the scope of a call. On an error the scope is set if the key's team is known.
func (e *Engine) identify(c *call) error {
	config := e.options.Store.Config()
	queue, found := config.Queues[c.req.Queue]
	c.queue = queue
	if found && queue.Open {
		c.team = queue.Team
		c.scope = openScope + c.req.Queue
		return nil
	}
	who, err := keys.Authenticate(config, e.isWithdrawn, c.req.Key)
	c.team, c.scope, c.keyID = who.Team, who.Team, who.KeyID
	if err != nil {
		return err
	}
	if err := e.checkFresh(config); err != nil {
		return err
	}
	if !found {
		return errkind.New(errkind.QueueUnknown, "queue %q does not exist", c.req.Queue)
	}
	return nil
}

// refuseUnidentified refuses a call without a known team. On a view that the log has not confirmed, the key may have been given or the
// queue opened lately, and an earlier attempt may have run elsewhere.
func (e *Engine) refuseUnidentified(c *call, err error) Response {
	resp := failure(err)
	if !c.req.Repeatable && !c.confirmed {
		resp = failed(errkind.ViewNotFresh, "the log did not confirm in time: %v", err)
		resp.Outcome = errkind.Unknown
	}
	return resp
}

// caughtUp returns nil once this VM has read all records that were in the log when it was called. The renewal comes behind them,
// whether it is accepted or not.
func (e *Engine) caughtUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.options.CloseTimeout)
	defer cancel()
	_, err := e.options.Submitter.Submit(ctx, fleet.Command{Renew: &fleet.Renew{}})
	return err
}

// withheld keeps the body of an answer from a caller whose key is not accepted, and tells the outcome only.
func withheld(resp Response, err error) Response {
	k := errkind.Of(err)
	if err == nil || k != errkind.KeyWithdrawn && k != errkind.ViewNotFresh {
		return resp
	}
	return Response{Outcome: resp.Outcome, Kind: k, Message: err.Error()}
}

// enter registers the call as the one in progress for its id. Otherwise it returns the flight to wait for, or a nil flight and
// the kept answer.
func (e *Engine) enter(c *call, refusal error) (f *flight, mine bool, resp Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f, ok := e.flights[c.key()]; ok {
		return f, false, Response{}
	}
	if r, ok := e.results.Get(c.scope, c.req.ID); ok {
		return nil, false, withheld(fromResult(r), refusal)
	}
	f = &flight{done: make(chan struct{})}
	e.flights[c.key()] = f
	return f, true, Response{}
}

func fromResult(r claims.Result) Response {
	return Response{Outcome: r.Outcome, Kind: r.Kind, Message: r.Message, Body: r.Body}
}

// launch drives the call in a goroutine of its own, because a non-repeatable task goes on when its caller leaves.
func (e *Engine) launch(c *call, f *flight, refusal error, release func()) {
	e.goJob(func() {
		defer release()
		resp := e.drive(c, refusal)
		e.mu.Lock()
		if keep(c, resp) {
			e.results.Put(c.scope, c.req.ID, toResult(resp))
		}
		f.resp = resp
		delete(e.flights, c.key())
		e.mu.Unlock()
		close(f.done)
	})
}

func toResult(r Response) claims.Result {
	return claims.Result{Outcome: r.Outcome, Kind: r.Kind, Message: r.Message, Body: r.Body}
}

// keep reports whether later attempts get this answer. A repeatable request runs again unless it is done. Of a non-repeatable
// one, answers that come from a lookup are not kept, because the next lookup may know more.
func keep(c *call, resp Response) bool {
	if resp.Outcome == errkind.Done {
		return resp.Kind == ""
	}
	return c.kind != repeatable && (c.attempts > 0 || c.resume)
}

// waitOwn waits for the call that this caller started.
func (e *Engine) waitOwn(ctx context.Context, c *call, f *flight, cancel context.CancelCauseFunc) Response {
	select {
	case <-f.done:
		return f.resp
	case <-ctx.Done():
		cancel(errLeft)
	case <-c.ctx.Done():
	}
	if e.mayRun(c) {
		return failed(errkind.RequestTimeout, "the deadline passed, or the caller left, while the task ran")
	}
	timer := time.NewTimer(e.options.CloseTimeout)
	defer timer.Stop()
	select {
	case <-f.done:
		return f.resp
	case <-timer.C:
	}
	if c.kind == repeatable {
		return failed(errkind.RequestTimeout, "the outcome was not settled in time")
	}
	return failed(errkind.ClaimUnconfirmed, "the outcome was not settled in time")
}

func (e *Engine) mayRun(c *call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.onServer
}

// waitOther waits for an earlier attempt until the deadline, and reports false if its outcome did not become known.
func waitOther(ctx context.Context, c *call, f *flight) (Response, bool) {
	select {
	case <-f.done:
		return f.resp, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return failed(errkind.RequestTimeout, "an earlier attempt with the same id has not ended yet"), false
}

// drive takes a call from admission to its outcome.
func (e *Engine) drive(c *call, refusal error) Response {
	if refusal == nil {
		refusal = e.admit(c)
	}
	if resp, proceed := e.takeID(c, refusal); !proceed {
		return resp
	}
	for {
		a, err := e.await(c)
		if err != nil {
			return e.endWaiting(c, err)
		}
		body, err := e.runTask(c, a)
		if err == nil {
			return e.finish(c, Response{Outcome: errkind.Done, Body: body})
		}
		if !e.retry(c, a, err) {
			return e.finish(c, e.lastFailure(c))
		}
	}
}
