// Package callerapi serves the HTTP interface for callers: requests, lookups of their outcomes, and issued request ids.
package callerapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/claims"
	"example.org/comfreyrouter/entry"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/ingress"
)

// Names of the HTTP headers of the callers' interface.
const (
	HeaderKey        = "Comfrey-Key"         // the team's API key
	HeaderRequestID  = "Comfrey-Request-Id"  // a ULID or an issued id; any id or none for a repeatable request
	HeaderDeadline   = "Comfrey-Deadline-Ms" // time left until the caller's deadline, in milliseconds
	HeaderRepeatable = "Comfrey-Repeatable"  // "true" if the request may run more than once, otherwise "false"
	HeaderOutcome    = "Comfrey-Outcome"     // the errkind.Outcome of a response
	HeaderErrorKind  = "Comfrey-Error-Kind"  // the errkind.Kind of a request that was refused or failed
)

// ReadyPath is the path of the readiness check, by which a load balancer learns whether this VM accepts new requests.
const ReadyPath = "/readyz"

// Engine is the part of entry.Engine that callers use.
type Engine interface {
	// Handle runs a request and returns its response, at the latest shortly after the request's deadline.
	Handle(ctx context.Context, req entry.Request) entry.Response
	// Lookup returns the outcome of the request with the given id, as far as it is known.
	Lookup(ctx context.Context, key, id string) entry.Response
	// IssueIDs returns n request ids that only this VM may run.
	IssueIDs(ctx context.Context, key, queue string, n int) ([]string, error)
	// Joined reports whether this VM is a member of the fleet and accepts new requests.
	Joined() bool
}

// Options holds the limits of the interface.
type Options struct {
	MaxBodyBytes int // maximum size of one body
	// MaxTotalBodyBytes bounds the total size of the bodies of all requests in progress.
	MaxTotalBodyBytes int64
	// BodyTimeout bounds the time to read one body.
	BodyTimeout time.Duration
}

// DefaultOptions returns options that suit a small entry VM.
func DefaultOptions() Options {
	return Options{MaxBodyBytes: 1 << 20, MaxTotalBodyBytes: 32 << 20, BodyTimeout: 10 * time.Second}
}

// maxDeadline is the longest deadline that a caller may set for a request.
const maxDeadline = 48 * time.Hour

// maxIDBytes bounds the length of a request id.
const maxIDBytes = 128

type server struct {
	engine        Engine
	options       Options
	reservedBytes atomic.Int64 // total size reserved for the bodies of requests in progress
}

// New returns an HTTP handler for the callers' interface.
func New(engine Engine, o Options) *echo.Echo {
	s := &server{engine: engine, options: o}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = handleRoutingError
	e.POST("/v1/requests/:queue", s.request)
	e.GET("/v1/requests/:id", s.lookup)
	e.POST("/v1/request-ids", s.issueIDs)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(ReadyPath, s.ready)
	return e
}

// handleRoutingError responds to unknown paths and methods. The outcome is that nothing ran, because no handler was called.
func handleRoutingError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	// A write error is dropped: the connection that failed is the only place to report it.
	_ = writeResponse(c, errorResponse(errkind.New(errkind.BadRequest, "%v", err)))
}

// ready tells a load balancer whether this VM accepts new requests.
func (s *server) ready(c echo.Context) error {
	if !s.engine.Joined() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// request passes a request to the engine. A malformed request with an id is passed on too, so that the response doesn't deny an earlier
// attempt with the same id.
func (s *server) request(c echo.Context) error {
	req, err := parseRequest(c)
	if err != nil && req.ID == "" {
		return writeResponse(c, errorResponse(err))
	}
	reserved, body, bodyErr := s.readBody(c)
	defer s.reservedBytes.Add(-reserved)
	if err == nil {
		err = bodyErr
	}
	req.Body = body
	req.Refusal = err
	resp := s.engine.Handle(c.Request().Context(), req)
	return writeResponse(c, resp)
}

// parseRequest builds a request from the path and headers, without its body. If it returns an error, the request's ID is still set if a
// usable one was sent or generated.
func parseRequest(c echo.Context) (entry.Request, error) {
	header := c.Request().Header
	req := entry.Request{Queue: c.Param("queue"), Key: header.Get(HeaderKey), ID: header.Get(HeaderRequestID)}
	if len(req.ID) > maxIDBytes || strings.ContainsAny(req.ID, "/ \t") {
		req.ID = ""
		return req, errkind.New(errkind.BadRequest, "%s is too long or has a character that is not allowed", HeaderRequestID)
	}
	for _, name := range []string{HeaderKey, HeaderRequestID, HeaderDeadline, HeaderRepeatable} {
		if len(header.Values(name)) > 1 {
			return req, errkind.New(errkind.BadRequest, "%s is sent more than once", name)
		}
	}
	switch header.Get(HeaderRepeatable) {
	case "true":
		req.Repeatable = true
	case "false":
	default:
		return req, errkind.New(errkind.BadRequest, "%s is neither true nor false", HeaderRepeatable)
	}
	if req.ID == "" && !req.Repeatable {
		return req, errkind.New(errkind.BadRequest, "a non-repeatable request needs a %s", HeaderRequestID)
	}
	if req.ID == "" {
		req.ID = ulid.Make().String()
	}
	if err := checkID(req); err != nil {
		return req, err
	}
	left, err := parseDeadline(header.Get(HeaderDeadline))
	req.TimeLeft = left
	return req, err
}

// checkID checks the id of a non-repeatable request.
func checkID(req entry.Request) error {
	if req.Repeatable {
		return nil
	}
	if _, ok := claims.ParseIssued(req.ID); ok {
		return nil
	}
	if _, err := ulid.ParseStrict(req.ID); err != nil {
		return errkind.New(errkind.BadRequest, "%s is neither a ULID nor an issued id", HeaderRequestID)
	}
	return nil
}

func parseDeadline(value string) (time.Duration, error) {
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, errkind.New(errkind.BadRequest, "%s is not a number of milliseconds", HeaderDeadline)
	}
	if millis > maxDeadline.Milliseconds() {
		return 0, errkind.New(errkind.BadRequest, "%s is more than %v", HeaderDeadline, maxDeadline)
	}
	return time.Duration(max(millis, -1)) * time.Millisecond, nil
}

// readBody reads the body, subject to the limits on one body and on all bodies in progress. It also returns the number of bytes that it
// has reserved in s.reservedBytes; the caller releases them, also after an error.
func (s *server) readBody(c echo.Context) (int64, []byte, error) {
	r := c.Request()
	limit := int64(s.options.MaxBodyBytes)
	if r.ContentLength > limit {
		return 0, nil, errkind.New(errkind.BodyTooLarge, "the body has %d bytes, more than %d", r.ContentLength, limit)
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if s.reservedBytes.Add(reserved) > s.options.MaxTotalBodyBytes {
		return reserved, nil, errkind.New(errkind.QueueFull, "the bodies in progress are over %d bytes", s.options.MaxTotalBodyBytes)
	}
	// An error is ignored: response writers that don't support read deadlines, as in tests, are read without one.
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(s.options.BodyTimeout))
	body, err := ingress.ReadBody(r, limit)
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	if errors.Is(err, ingress.ErrRefused) {
		return reserved, nil, errkind.New(errkind.QueueFull, "%v", err)
	}
	if err != nil {
		return reserved, nil, errkind.New(errkind.BadRequest, "the body could not be read: %v", err)
	}
	if int64(len(body)) > limit {
		return reserved, nil, errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	return reserved, body, nil
}

func (s *server) lookup(c echo.Context) error {
	key := c.Request().Header.Get(HeaderKey)
	return writeResponse(c, s.engine.Lookup(c.Request().Context(), key, c.Param("id")))
}

func (s *server) issueIDs(c echo.Context) error {
	count, err := strconv.Atoi(c.QueryParam("count"))
	if err != nil {
		return writeResponse(c, errorResponse(errkind.New(errkind.BadRequest, "count is not a number")))
	}
	key := c.Request().Header.Get(HeaderKey)
	ids, err := s.engine.IssueIDs(c.Request().Context(), key, c.QueryParam("queue"), count)
	if err != nil {
		return writeResponse(c, errorResponse(err))
	}
	return c.JSON(http.StatusOK, map[string][]string{"ids": ids})
}

func errorResponse(err error) entry.Response {
	k := errkind.Of(err)
	return entry.Response{Outcome: errkind.Lookup(k).Outcome, Kind: k, Message: err.Error()}
}

// errorBody is the response body of a request that was refused, failed or is still in progress.
type errorBody struct {
	Kind    errkind.Kind    `json:"kind"`
	Outcome errkind.Outcome `json:"outcome"`
	Message string          `json:"message"`
}

// writeResponse sends a response. The body of a completed request is sent with its length, so that the caller detects truncation.
func writeResponse(c echo.Context, resp entry.Response) error {
	header := c.Response().Header()
	header.Set(HeaderOutcome, string(resp.Outcome))
	if resp.RequestID != "" {
		header.Set(HeaderRequestID, resp.RequestID)
	}
	switch {
	case resp.Outcome == errkind.Pending:
		return c.JSON(http.StatusAccepted, errorBody{Outcome: resp.Outcome, Message: "the request is in progress"})
	case resp.Kind != "":
		header.Set(HeaderErrorKind, string(resp.Kind))
		return c.JSON(errkind.Lookup(resp.Kind).Status, errorBody{resp.Kind, resp.Outcome, resp.Message})
	}
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(resp.Body)))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, resp.Body)
}
