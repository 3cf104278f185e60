package entry

import (
	"context"
	"errors"
	"time"

	"example.org/comfreyrouter/admission"
	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/routing"
)

// admit returns an error if the call must be refused: during shutdown, on overload, or if its deadline cannot be met.
func (e *Engine) admit(c *call) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shuttingDown {
		return errkind.New(errkind.ShuttingDown, "this entry VM is shutting down")
	}
	load := e.loadLocked(c, time.Now())
	left := time.Until(c.receivedAt.Add(c.req.TimeLeft))
	if err := admission.Check(e.options.Admission, load, len(c.req.Body), left); err != nil {
		if errkind.Of(err) == errkind.DeadlineTooClose && load.RunTime > left {
			e.runTimes.NoteRefusal(c.req.Queue, c.team)
		}
		return err
	}
	if len(e.inFlight) > 2*e.options.Admission.MaxWaiting+len(e.tasks) {
		return errkind.New(errkind.QueueFull, "%d requests are in progress", len(e.inFlight))
	}
	e.budget.OnRequest()
	return nil
}

// prepareRetry reports whether the call may be attempted again after err. If a backoff applies, it sleeps for it
// first.
func (e *Engine) prepareRetry(c *call, a assignment, err error) bool {
	if e.resumeFromCheckpoint(c, err) {
		return true
	}
	k := errkind.Of(err)
	c.lastErr = err
	if routing.MayHaveStarted(k) {
		c.failure = err
		c.attempts++
		c.refusals = 0
	} else {
		c.refusals++
	}
	if c.ctx.Err() != nil && routing.MayHaveStarted(k) {
		return false
	}
	e.mu.Lock()
	again := routing.MayRetry(k, c.kind == repeatable, c.attempts, e.budget)
	others := len(e.byPool[c.queue.Pool]) > 1
	e.mu.Unlock()
	if !again || routing.MayHaveStarted(k) && !others {
		return false
	}
	// After a refusal the server's own backoff keeps work away from it; only a failure excludes the server from the next attempt.
	c.exclude = nil
	if routing.MayHaveStarted(k) {
		c.exclude = map[string]bool{a.server: true}
	}
	e.options.Counters.Retried(k)
	// A full server is marked as full, so the call goes back to its queue without a backoff and waits for another server.
	if !routing.MayHaveStarted(k) && !errors.Is(err, backend.ErrBusy) {
		sleep(c.ctx, refusalBackoff(c.refusals))
	}
	return true
}

// resumeFromCheckpoint prepares a call to resume if err is a checkpoint, and reports whether it is. The server has confirmed that the run
// stopped, so the resumed run is not a second run.
func (e *Engine) resumeFromCheckpoint(c *call, err error) bool {
	var checkpoint *backend.Checkpoint
	if !errors.As(err, &checkpoint) {
		return false
	}
	c.req.Body = checkpoint.State
	c.resume = true
	c.exclude = nil
	c.failure = errkind.New(errkind.Checkpointed, "the task was checkpointed and did not resume before the deadline")
	e.options.Counters.Retried(errkind.Checkpointed)
	return true
}

// Backoff between attempts after a server refused the task before its start.
const (
	minRefusalBackoff = 10 * time.Millisecond
	maxRefusalBackoff = 500 * time.Millisecond
)

func refusalBackoff(refusals int) time.Duration {
	return min(minRefusalBackoff<<min(refusals-1, 10), maxRefusalBackoff)
}

// finalResponse returns the response to a call whose attempts may have started but did not succeed.
func (e *Engine) finalResponse(c *call) Response {
	switch {
	case errors.Is(context.Cause(c.ctx), errDeadline) && c.kind == repeatable:
		return newErrorResponse(errkind.RequestTimeout, "the deadline passed while the task ran")
	case c.attempts >= routing.MaxAttempts:
		return newErrorResponse(errkind.AttemptsExhausted, "%d attempts failed, the last one with: %v", c.attempts, c.failure)
	}
	return errorResponse(c.failure)
}

// endWaiting returns the response to a call that stopped waiting for a server with err.
func (e *Engine) endWaiting(c *call, err error) Response {
	if c.attempts > 0 || c.resume {
		return e.recordOutcome(c, e.finalResponse(c))
	}
	return e.closeNotRun(c, err)
}
