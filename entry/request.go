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

// Request is a caller's request to run one task.
type Request struct {
	Queue      string
	Key        string // API key, empty if none was sent
	ID         string
	Repeatable bool
	TimeLeft   time.Duration // until the caller's deadline
	Body       []byte
	// Refusal is set for a malformed request, which is refused with this error. The outcome of an earlier attempt with the same id is
	// still reported.
	Refusal error
}

// Response is the response to a request.
type Response struct {
	RequestID string
	Outcome   errkind.Outcome
	Kind      errkind.Kind // empty if the request succeeded
	Message   string
	Body      []byte
}

func errorResponse(err error) Response {
	k := errkind.Of(err)
	return Response{Outcome: errkind.Lookup(k).Outcome, Kind: k, Message: err.Error()}
}

func newErrorResponse(k errkind.Kind, format string, args ...any) Response {
	return errorResponse(errkind.New(k, format, args...))
}

// idKind is the way in which a request is kept from running twice.
type idKind int

const (
	repeatable   idKind = iota
	callerChosen        // the id is a ULID chosen by the caller and claimed in the log
	issuedHere
	issuedElsewhere
)

// call is the state of one request in the engine.
type call struct {
	req    Request
	kind   idKind
	issued claims.IssuedID
	queue  fleet.Queue
	team   string
	// scope is the namespace of the id: the team of the key, or the open queue. Anybody may look up the ids of an open
	// queue, so they are separate from those of the queue's team.
	scope      string
	keyID      string
	receivedAt time.Time
	ctx        context.Context // ends at the deadline or when the caller disconnects

	resume  bool // the body is the state of a checkpointed run
	claimed bool // the id was claimed by this call
	// unknownConfirmed is set if the log was read to its end after the call arrived, so that an unknown or missing key is certain.
	unknownConfirmed bool
	attempts         int             // attempts that may have started
	refusals         int             // consecutive attempts refused before the start
	lastErr          error           // of the last attempt
	failure          error           // of the last attempt that may have started; a later refusal does not clear it
	exclude          map[string]bool // the server that failed last
	failedOn         string          // the first server to which a failure of this call was reported
	failureRetracted bool            // that failure was retracted
	isProbe          bool            // the task was sent although the view showed no free slot; guarded by Engine.mu
	assigned         chan assignment
	item             fairshare.Item

	onServer bool // a task of this call may run; guarded by Engine.mu
}

func (c *call) key() string { return c.scope + "/" + c.req.ID }

// inFlightCall is a request in progress that later attempts with the same id wait for.
type inFlightCall struct {
	done chan struct{}
	resp Response // set before done is closed
}

// openScope is the scope prefix of open queues.
const openScope = "open:"

var (
	errDeadline   = errkind.New(errkind.DeadlinePast, "the deadline passed")
	errCallerLeft = errkind.New(errkind.Cancelled, "the caller left")
)

// Handle handles a caller's request. It returns at the latest at the request's deadline, plus Options.CloseTimeout if an id must be closed.
func (e *Engine) Handle(ctx context.Context, req Request) Response {
	c := &call{req: req, receivedAt: time.Now()}
	err := e.identify(c)
	if c.scope == "" && !req.Repeatable && e.catchUp(ctx) == nil {
		c.unknownConfirmed = true
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

// handle handles an identified call. If err is set, the call is refused with it.
func (e *Engine) handle(ctx context.Context, c *call, err error) Response {
	if c.scope == "" {
		return e.refuseUnidentified(c, err)
	}
	if err == nil {
		err = c.req.Refusal
	}
	if kindErr := c.classify(e.options.Incarnation); kindErr != nil {
		return errorResponse(kindErr)
	}
	if c.kind == issuedElsewhere {
		return e.handleAtIssuer(ctx, c, err)
	}
	deadline := c.receivedAt.Add(c.req.TimeLeft)
	timed, cancelTimed := context.WithDeadlineCause(e.baseCtx, deadline, errDeadline)
	callCtx, cancel := context.WithCancelCause(timed)
	c.ctx = callCtx
	release := func() {
		cancel(nil)
		cancelTimed()
	}
	for {
		f, own, resp := e.register(c, err)
		if f == nil {
			release()
			return resp
		}
		if own {
			e.launch(c, f, err, release)
			return e.waitOwn(ctx, c, f, cancel)
		}
		resp, ok := waitOther(ctx, c, f)
		if !ok || c.kind != repeatable || resp.Outcome == errkind.Done {
			release()
			return withholdBody(resp, err)
		}
	}
}

// classify sets the call's idKind. It returns an error if the id of a non-repeatable request is not acceptable.
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
	c.kind = callerChosen
	id, err := ulid.ParseStrict(c.req.ID)
	if err != nil {
		return errkind.New(errkind.BadRequest, "the request id of a non-repeatable request is neither a ULID nor an issued id")
	}
	if ahead := ulid.Time(id.Time()).Sub(c.receivedAt); ahead > maxIDAhead {
		return errkind.New(errkind.IDExpired, "the time in the request id is %v ahead", ahead)
	}
	return nil
}

// maxIDAhead is how far the time in a ULID may be ahead of the VM's clock. The fold rejects all ids up to the highest time among dropped
// claims, so one id from the far future would block the ids of all other callers.
const maxIDAhead = time.Minute

// identify sets the queue, the team and the scope of a call. On an error the scope is still set if the key's team is known.
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

// refuseUnidentified refuses a call without a known team. Unless the log was read to its end, the key may have been added or the queue
// opened recently, and an earlier attempt may have run on another VM, so the outcome of a non-repeatable request is unknown.
func (e *Engine) refuseUnidentified(c *call, err error) Response {
	resp := errorResponse(err)
	if !c.req.Repeatable && !c.unknownConfirmed {
		resp = newErrorResponse(errkind.ViewNotFresh, "the log did not confirm in time: %v", err)
		resp.Outcome = errkind.Unknown
	}
	return resp
}

// catchUp returns nil once this VM has read all records that were in the log when it was called. It submits a renewal, which comes after
// them in the log, whether it is accepted or not.
func (e *Engine) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.options.CloseTimeout)
	defer cancel()
	_, err := e.options.Submitter.Submit(ctx, fleet.Command{Renew: &fleet.Renew{}})
	return err
}

// withholdBody removes the body from a response to a caller whose key is not accepted, so that only the outcome is disclosed.
func withholdBody(resp Response, err error) Response {
	k := errkind.Of(err)
	if err == nil || k != errkind.KeyWithdrawn && k != errkind.ViewNotFresh {
		return resp
	}
	return Response{Outcome: resp.Outcome, Kind: k, Message: err.Error()}
}

// register registers the call as the one in progress for its id and returns own as true. If another one is in progress, it returns
// that one; if the result is known, it returns nil and the response.
func (e *Engine) register(c *call, refusal error) (f *inFlightCall, own bool, resp Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f, ok := e.inFlight[c.key()]; ok {
		return f, false, Response{}
	}
	if r, ok := e.results.Get(c.scope, c.req.ID); ok {
		return nil, false, withholdBody(fromResult(r), refusal)
	}
	f = &inFlightCall{done: make(chan struct{})}
	e.inFlight[c.key()] = f
	return f, true, Response{}
}

func fromResult(r claims.Result) Response {
	return Response{Outcome: r.Outcome, Kind: r.Kind, Message: r.Message, Body: r.Body}
}

// launch processes the call in a separate goroutine, because a non-repeatable task continues when its caller disconnects.
func (e *Engine) launch(c *call, f *inFlightCall, refusal error, release func()) {
	e.goBackground(func() {
		defer release()
		resp := e.process(c, refusal)
		e.mu.Lock()
		if keepsResult(c, resp) {
			e.results.Put(c.scope, c.req.ID, toResult(resp))
		}
		f.resp = resp
		delete(e.inFlight, c.key())
		e.mu.Unlock()
		close(f.done)
	})
}

func toResult(r Response) claims.Result {
	return claims.Result{Outcome: r.Outcome, Kind: r.Kind, Message: r.Message, Body: r.Body}
}

// keepsResult reports whether the response is kept for later attempts. A repeatable request runs again unless it is done. For a
// non-repeatable one, responses that come from a lookup are not kept, because the next lookup may find more.
func keepsResult(c *call, resp Response) bool {
	if resp.Outcome == errkind.Done {
		return resp.Kind == ""
	}
	return c.kind != repeatable && (c.attempts > 0 || c.resume)
}

// waitOwn waits for the call that this caller started.
func (e *Engine) waitOwn(ctx context.Context, c *call, f *inFlightCall, cancel context.CancelCauseFunc) Response {
	select {
	case <-f.done:
		return f.resp
	case <-ctx.Done():
		cancel(errCallerLeft)
	case <-c.ctx.Done():
	}
	if e.mayRun(c) {
		return newErrorResponse(errkind.RequestTimeout, "the deadline passed, or the caller left, while the task ran")
	}
	timer := time.NewTimer(e.options.CloseTimeout)
	defer timer.Stop()
	select {
	case <-f.done:
		return f.resp
	case <-timer.C:
	}
	if c.kind == repeatable {
		return newErrorResponse(errkind.RequestTimeout, "the outcome was not settled in time")
	}
	return newErrorResponse(errkind.ClaimUnconfirmed, "the outcome was not settled in time")
}

func (e *Engine) mayRun(c *call) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.onServer
}

// waitOther waits for an earlier attempt until the deadline. It reports false if the attempt has not ended by then.
func waitOther(ctx context.Context, c *call, f *inFlightCall) (Response, bool) {
	select {
	case <-f.done:
		return f.resp, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return newErrorResponse(errkind.RequestTimeout, "an earlier attempt with the same id has not ended yet"), false
}

// process runs a call from admission to its outcome, with retries.
func (e *Engine) process(c *call, refusal error) Response {
	if refusal == nil {
		refusal = e.admit(c)
	}
	if resp, proceed := e.acquireID(c, refusal); !proceed {
		return resp
	}
	for {
		a, err := e.awaitAssignment(c)
		if err != nil {
			return e.endWaiting(c, err)
		}
		body, err := e.runTask(c, a)
		if err == nil {
			return e.recordOutcome(c, Response{Outcome: errkind.Done, Body: body})
		}
		if !e.prepareRetry(c, a, err) {
			return e.recordOutcome(c, e.finalResponse(c))
		}
	}
}
