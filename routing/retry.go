package routing

import "example.org/comfreyrouter/errkind"

// MaxAttempts is the number of backend servers on which a request is tried.
const MaxAttempts = 3

// RetryBudget bounds retries after a start to a part of the requests, so that retries do not feed an overload.
type RetryBudget struct {
	percent  int
	capacity int // in hundredths of a retry
	tokens   int
}

// NewRetryBudget returns a budget of percent retries for each hundred requests, and a burst.
func NewRetryBudget(percent, burst int) *RetryBudget {
	return &RetryBudget{percent: percent, capacity: burst * 100, tokens: burst * 100}
}

// OnRequest earns a part of a retry.
func (b *RetryBudget) OnRequest() { b.tokens = min(b.capacity, b.tokens+b.percent) }

// Take spends a retry, and reports false if none is left.
func (b *RetryBudget) Take() bool {
	if b.tokens < 100 {
		return false
	}
	b.tokens -= 100
	return true
}

// MayHaveStarted reports whether a request may have started when an attempt on a backend server ended with an error of kind k.
func MayHaveStarted(k errkind.Kind) bool {
	return k != errkind.BackendRefused
}

// MayRetry reports whether a request may be tried again after an attempt that ended with kind k: it did not start, or it
// may be repeated. attempts counts those that may have started.
func MayRetry(k errkind.Kind, repeatable bool, attempts int, budget *RetryBudget) bool {
	if !MayHaveStarted(k) {
		return true
	}
	return repeatable && attempts < MaxAttempts && budget.Take()
}
