package jobnode

import (
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/loadshed"
)

const (
	// maxOpenJobs bounds the jobs that are accepted and have not ended. A job takes about 6 KB on every node, so that they fit into the
	// smallest VMs (184 MB) several times; it is some minutes of the largest load.
	maxOpenJobs = 5000
	// returnLeast and returnSpread bound when refused callers are asked to come back: after a turn of the demand, and not all at once.
	returnLeast  = 4 * time.Second
	returnSpread = 8 * time.Second
)

// admit refuses a job that would have to wait behind more jobs than are kept.
func admit(id string, open int) error {
	if open < maxOpenJobs {
		return nil
	}
	return &retryLater{errkind.New(errkind.QueueFull, "%d jobs have not ended", open), returnLeast + loadshed.Jitter(id, returnSpread)}
}

// retryLater is a refusal that knows when it is worth to come back.
type retryLater struct {
	error
	after time.Duration
}

func (r *retryLater) Unwrap() error { return r.error }

// open counts the jobs that have not ended.
func (f *follower) open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.CountOpen()
}
