package jobnode

import (
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/loadshed"
)

const (
	// maxOpenJobs bounds the jobs that are accepted and have not ended. A job takes about 6 KB on every node, so this many fit several times into
	// the smallest VMs (184 MB). It is some minutes of the largest load.
	maxOpenJobs = 5000
	// minRetryAfter and retryAfterJitter bound when refused callers are asked to retry: after a demand peak, and not all at once.
	minRetryAfter    = 4 * time.Second
	retryAfterJitter = 8 * time.Second
)

// checkOpenJobs refuses a job if too many accepted jobs have not ended.
func checkOpenJobs(id string, open int) error {
	if open < maxOpenJobs {
		return nil
	}
	return &retryAfterError{errkind.New(errkind.QueueFull, "%d jobs have not ended", open), minRetryAfter + loadshed.Jitter(id, retryAfterJitter)}
}

// retryAfterError is a refusal with the time after which a retry makes sense.
type retryAfterError struct {
	error
	after time.Duration
}

func (r *retryAfterError) Unwrap() error { return r.error }

// openJobs counts the jobs that have not ended.
func (f *follower) openJobs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.CountOpen()
}
