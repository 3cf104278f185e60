// Package errkind holds the closed list of error kinds, which are also the values of counter labels, and the one table that maps a kind to its
// answer: HTTP status, outcome, retry rule and explanation.
package errkind

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/samber/oops"
)

// Kind is a reason why a request or an operator's call is not answered with success.
type Kind string

// The closed list of kinds. docs/errors.md has one row for each; a test compares both.
const (
	BadRequest        Kind = "bad_request"
	BodyTooLarge      Kind = "body_too_large"
	KeyMissing        Kind = "key_missing"
	KeyUnknown        Kind = "key_unknown"
	KeyWithdrawn      Kind = "key_withdrawn"
	ViewNotFresh      Kind = "view_not_fresh"
	QueueUnknown      Kind = "queue_unknown"
	DeadlinePast      Kind = "deadline_past"
	DeadlineTooClose  Kind = "deadline_too_close"
	QueueFull         Kind = "queue_full"
	LimitReached      Kind = "limit_reached"
	NoBackendServer   Kind = "no_backend_server"
	ShuttingDown      Kind = "shutting_down"
	Cancelled         Kind = "cancelled"
	BackendRefused    Kind = "backend_refused"
	BackendFailed     Kind = "backend_failed"
	BackendLost       Kind = "backend_lost"
	AnswerCorrupt     Kind = "answer_corrupt"
	Checkpointed      Kind = "checkpointed"
	RequestTimeout    Kind = "request_timeout"
	AttemptsExhausted Kind = "attempts_exhausted"
	ClaimedElsewhere  Kind = "claimed_elsewhere"
	ClaimClosed       Kind = "claim_closed"
	ClaimUnconfirmed  Kind = "claim_unconfirmed"
	IDExpired         Kind = "id_expired"
	IssuerUnreachable Kind = "issuer_unreachable"
	ResultGone        Kind = "result_gone"
	RequestUnknown    Kind = "request_unknown"
	VersionConflict   Kind = "version_conflict"
	InvalidConfig     Kind = "invalid_config"
	BudgetExceeded    Kind = "budget_exceeded"
	NotFound          Kind = "not_found"
	Unauthorized      Kind = "unauthorized"
	LogUnavailable    Kind = "log_unavailable"
	Fenced            Kind = "fenced"
	NoDispatcher      Kind = "no_dispatcher"
	Internal          Kind = "internal"
)

// Outcome is what a caller is told about the execution of its request.
type Outcome string

// The three outcomes, and Pending for a question about a request that still runs.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Pending Outcome = "pending"
)

// Answer is the response to an error of one kind.
type Answer struct {
	Status  int     // HTTP status
	Outcome Outcome // outcome told to a caller; empty for kinds that only operators see
	Retry   bool    // whether the caller may send the same id again at once
	Text    string  // one-line explanation, also in docs/errors.md
}

var table = map[Kind]Answer{
	BadRequest:        {http.StatusBadRequest, NotRun, false, "a header or the body is malformed"},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, NotRun, false, "the body is over the size limit"},
	KeyMissing:        {http.StatusUnauthorized, NotRun, false, "the queue needs a key and none was sent"},
	KeyUnknown:        {http.StatusUnauthorized, NotRun, false, "the key was never given"},
	KeyWithdrawn:      {http.StatusForbidden, NotRun, false, "the key was withdrawn"},
	ViewNotFresh:      {http.StatusServiceUnavailable, NotRun, true, "this VM cannot confirm that the key is still valid"},
	QueueUnknown:      {http.StatusNotFound, NotRun, false, "no such queue"},
	DeadlinePast:      {http.StatusGatewayTimeout, NotRun, false, "the deadline had passed before the request started"},
	DeadlineTooClose:  {http.StatusServiceUnavailable, NotRun, true, "the request would not finish before its deadline"},
	QueueFull:         {http.StatusTooManyRequests, NotRun, true, "the queue of this entry VM is full"},
	LimitReached:      {http.StatusTooManyRequests, NotRun, true, "the team's upper limit was reached until the deadline"},
	NoBackendServer:   {http.StatusServiceUnavailable, NotRun, true, "no backend server of the pool takes work"},
	ShuttingDown:      {http.StatusServiceUnavailable, NotRun, true, "this entry VM is shutting down"},
	Cancelled:         {499, NotRun, false, "the caller left before the request started"},
	BackendRefused:    {http.StatusServiceUnavailable, NotRun, true, "every backend server refused before the start"},
	BackendFailed:     {http.StatusBadGateway, Unknown, false, "the backend server reported that the task failed"},
	BackendLost:       {http.StatusBadGateway, Unknown, false, "the connection broke after the task was sent"},
	AnswerCorrupt:     {http.StatusBadGateway, Unknown, false, "the answer was truncated or belonged to another request"},
	Checkpointed:      {http.StatusServiceUnavailable, Unknown, false, "the task was checkpointed and did not resume before the deadline"},
	RequestTimeout:    {http.StatusGatewayTimeout, Unknown, false, "the deadline passed while the task ran"},
	AttemptsExhausted: {http.StatusBadGateway, Unknown, false, "the task failed on as many backend servers as are tried"},
	ClaimedElsewhere:  {http.StatusConflict, Unknown, false, "the request id is claimed by another attempt whose outcome is not known"},
	ClaimClosed:       {http.StatusConflict, NotRun, false, "the request id was closed without a run; use a new id"},
	ClaimUnconfirmed:  {http.StatusServiceUnavailable, Unknown, true, "the platform's log did not confirm the claim; the same id may be sent again"},
	IDExpired:         {http.StatusGone, Unknown, false, "the request id is older than the claims that are kept"},
	IssuerUnreachable: {http.StatusServiceUnavailable, Unknown, true, "the entry VM that issued the request id cannot be reached"},
	ResultGone:        {http.StatusGone, Done, false, "the request ran to its end, but its answer is no longer kept"},
	RequestUnknown:    {http.StatusNotFound, Unknown, false, "nothing is known of this request id"},
	VersionConflict:   {http.StatusConflict, "", false, "another change won; read the named version and try again"},
	InvalidConfig:     {http.StatusUnprocessableEntity, "", false, "the change is not valid; what was in force stays"},
	BudgetExceeded:    {http.StatusConflict, "", true, "the change would break an availability budget"},
	NotFound:          {http.StatusNotFound, "", false, "no such object"},
	Unauthorized:      {http.StatusUnauthorized, "", false, "the operators' token is missing or wrong"},
	LogUnavailable:    {http.StatusServiceUnavailable, "", true, "the platform's log did not confirm the change; the same call may be repeated"},
	Fenced:            {http.StatusServiceUnavailable, Unknown, true, "this entry VM was fenced and must join again"},
	NoDispatcher:      {http.StatusServiceUnavailable, "", true, "no node in reach dispatches jobs, or the one that does can't be sure of its role"},
	Internal:          {http.StatusInternalServerError, Unknown, false, "an unexpected error"},
}

// Lookup returns the answer to an error of kind k. Kinds outside the list get the answer of Internal.
func Lookup(k Kind) Answer {
	if a, ok := table[k]; ok {
		return a
	}
	return table[Internal]
}

// All returns every kind, in no particular order.
func All() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an error of a known kind.
type Error struct {
	Kind Kind
	err  error
}

// Error returns the message, prefixed with the kind.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) error {
	return &Error{Kind: k, err: oops.Code(string(k)).Errorf(format, args...)}
}

// Wrap returns err as an error of kind k. It returns nil for a nil err.
func Wrap(k Kind, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, err: oops.Code(string(k)).Wrap(err)}
}

// Of returns the kind of err, or Internal if it has none.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Row returns the line of the kind in the table of docs/errors.md.
func (k Kind) Row() string {
	a := Lookup(k)
	outcome := string(a.Outcome)
	if outcome == "" {
		outcome = "operators only"
	}
	retry := "no"
	if a.Retry {
		retry = "yes"
	}
	return fmt.Sprintf("| `%s` | %d | %s | %s | %s |", k, a.Status, outcome, retry, a.Text)
}
