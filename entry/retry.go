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

// admit refuses what cannot be served.
func (e *Engine) admit(c *call) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shuttingDown {
		return errkind.New(errkind.ShuttingDown, "this entry VM is shutting down")
	}
	load := e.loadLocked(c, time.Now())
	left := time.Until(c.began.Add(c.req.TimeLeft))
	if err := admission.Check(e.options.Admission, load, len(c.req.Body), left); err != nil {
		if errkind.Of(err) == errkind.DeadlineTooClose && load.RunTime > left {
			e.runTimes.NoteRefusal(c.req.Queue, c.team)
		}
		return err
	}
	if len(e.flights) > 2*e.options.Admission.MaxWaiting+len(e.tasks) {
		return errkind.New(errkind.QueueFull, "%d requests are in progress", len(e.flights))
	}
	e.budget.OnRequest()
	return nil
}

// retry decides about another attempt after err, and waits before it.
func (e *Engine) retry(c *call, a assignment, err error) bool {
	if e.resumes(c, err) {
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
	// After a refusal the server's pause keeps work away from it for a while; only a failure bars it for the next attempt.
	c.exclude = nil
	if routing.MayHaveStarted(k) {
		c.exclude = map[string]bool{a.server: true}
	}
	e.options.Counters.Retried(k)
	// A full server is marked, and the call waits in its queue for another one.
	if !routing.MayHaveStarted(k) && !errors.Is(err, backend.ErrBusy) {
		sleep(c.ctx, refusalBackoff(c.refusals))
	}
	return true
}

// resumes prepares a call to resume after a checkpoint. The server confirmed that the run has stopped, so a resumed run is not a
// second run.
func (e *Engine) resumes(c *call, err error) bool {
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

// Backoff after a refusal before the start.
const (
	minRefusalBackoff = 10 * time.Millisecond
	maxRefusalBackoff = 500 * time.Millisecond
)

func refusalBackoff(refusals int) time.Duration {
	return min(minRefusalBackoff<<min(refusals-1, 10), maxRefusalBackoff)
}

// lastFailure is the answer after attempts that may have started.
func (e *Engine) lastFailure(c *call) Response {
	switch {
	case errors.Is(context.Cause(c.ctx), errDeadline) && c.kind == repeatable:
		return failed(errkind.RequestTimeout, "the deadline passed while the task ran")
	case c.attempts >= routing.MaxAttempts:
		return failed(errkind.AttemptsExhausted, "%d attempts failed, the last one with: %v", c.attempts, c.failure)
	}
	return failure(c.failure)
}

// endWaiting ends a call that waits for a server.
func (e *Engine) endWaiting(c *call, err error) Response {
	if c.attempts > 0 || c.resume {
		return e.finish(c, e.lastFailure(c))
	}
	return e.closeUnrun(c, err)
}
