package claims

import (
	"example.org/comfreyrouter/errkind"
)

// Result is the result of a finished request.
type Result struct {
	Outcome errkind.Outcome
	Kind    errkind.Kind // empty for Done
	Message string
	Body    []byte
}

// Results keeps the results of finished requests for callers that repeat a request. When they exceed a bound on memory, it drops the
// oldest first.
type Results struct {
	maxBytes int
	bytes    int
	byID     map[string]Result // by resultKey
	order    []string          // keys of byID, the oldest first
}

// resultOverhead is an upper estimate of the memory that a result takes in addition to its body, in bytes.
const resultOverhead = 256

// NewResults returns a store that keeps up to maxBytes of results.
func NewResults(maxBytes int) *Results {
	return &Results{maxBytes: maxBytes, byID: map[string]Result{}}
}

// Put keeps the result of a team's request id. It does not replace an earlier result.
func (r *Results) Put(team, requestID string, result Result) {
	key := resultKey(team, requestID)
	if _, ok := r.byID[key]; ok {
		return
	}
	r.byID[key] = result
	r.order = append(r.order, key)
	r.bytes += len(result.Body) + resultOverhead
	for r.bytes > r.maxBytes && len(r.order) > 0 {
		oldest := r.order[0]
		r.order = r.order[1:]
		r.bytes -= len(r.byID[oldest].Body) + resultOverhead
		delete(r.byID, oldest)
	}
}

// Get returns the result of a team's request id, or false if none is kept.
func (r *Results) Get(team, requestID string) (Result, bool) {
	result, ok := r.byID[resultKey(team, requestID)]
	return result, ok
}

func resultKey(team, requestID string) string { return team + "/" + requestID }
