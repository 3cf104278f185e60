package routing

import "example.org/comfreyrouter/errkind"

// MaxAttempts is the largest number of attempts of a request that may have started on a backend server.
const MaxAttempts = 3

// RetryBudget limits retries of requests that may have started to a percentage of all requests, so that retries do not
// amplify an overload.
type RetryBudget struct {
	percent  int
	capacity int // in hundredths of a retry
	tokens   int // in hundredths of a retry
}

// NewRetryBudget returns a full budget that earns percent retries for each hundred requests and holds at most burst retries.
func NewRetryBudget(percent, burst int) *RetryBudget {
	return &RetryBudget{percent: percent, capacity: burst * 100, tokens: burst * 100}
}

// OnRequest adds the part of a retry that one request earns.
func (b *RetryBudget) OnRequest() { b.tokens = min(b.capacity, b.tokens+b.percent) }

// Take spends one retry. It returns false if less than one is left.
func (b *RetryBudget) Take() bool {
	if b.tokens < 100 {
		return false
	}
	b.tokens -= 100
	return true
}

// MayHaveStarted reports whether a request may have started on a backend server if the attempt ended with an error of kind k.
func MayHaveStarted(k errkind.Kind) bool {
	return k != errkind.BackendRefused
}

// MayRetry reports whether a request may be retried after an attempt that ended with an error of kind k. A request that did not
// start may always be retried; one that may have started, only if it is repeatable, has had fewer than MaxAttempts attempts and
// the budget has a retry left, which MayRetry then spends. attempts counts the attempts that may have started.
func MayRetry(k errkind.Kind, repeatable bool, attempts int, budget *RetryBudget) bool {
	if !MayHaveStarted(k) {
		return true
	}
	return repeatable && attempts < MaxAttempts && budget.Take()
}
