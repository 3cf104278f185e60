// Package callerapi is the HTTP interface for callers: requests, their outcomes, and issued request ids.
package callerapi

import (
	"context"
	"io"
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
)

// Header names of the callers' interface.
const (
	HeaderKey        = "Comfrey-Key"
	HeaderRequestID  = "Comfrey-Request-Id"
	HeaderDeadline   = "Comfrey-Deadline-Ms"
	HeaderRepeatable = "Comfrey-Repeatable"
	HeaderOutcome    = "Comfrey-Outcome"
	HeaderErrorKind  = "Comfrey-Error-Kind"
)

// ReadyPath is the path at which a load balancer asks whether this VM takes new work.
const ReadyPath = "/readyz"

// Engine is the part of entry.Engine that callers use.
type Engine interface {
	Handle(ctx context.Context, req entry.Request) entry.Response
	Lookup(ctx context.Context, key, id string) entry.Response
	IssueIDs(ctx context.Context, key, queue string, n int) ([]string, error)
	Joined() bool
}

// Options are the settings of the interface.
type Options struct {
	MaxBodyBytes int // largest body, in bytes
	// MaxTotalBodyBytes bounds the bodies of all requests in progress, in bytes.
	MaxTotalBodyBytes int64
	// BodyTimeout bounds the time to read a body.
	BodyTimeout time.Duration
}

// DefaultOptions suit a small entry VM.
func DefaultOptions() Options {
	return Options{MaxBodyBytes: 1 << 20, MaxTotalBodyBytes: 32 << 20, BodyTimeout: 10 * time.Second}
}

// maxDeadline bounds the time that a caller may give a request.
const maxDeadline = 48 * time.Hour

// maxIDLength bounds a request id, in bytes.
const maxIDLength = 128

type server struct {
	engine  Engine
	options Options
	bodies  atomic.Int64 // bytes of the bodies in progress
}

// New returns the handler of the callers' interface.
func New(engine Engine, o Options) *echo.Echo {
	s := &server{engine: engine, options: o}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = notRouted
	e.POST("/v1/requests/:queue", s.request)
	e.GET("/v1/requests/:id", s.lookup)
	e.POST("/v1/request-ids", s.issue)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET(ReadyPath, s.ready)
	return e
}

// notRouted answers paths and methods that do not exist. Nothing ran, because no handler did.
func notRouted(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	// The connection is the only other receiver of this error.
	_ = write(c, failure(errkind.New(errkind.BadRequest, "%v", err)))
}

// ready tells the load balancer whether this VM takes new work.
func (s *server) ready(c echo.Context) error {
	if !s.engine.Joined() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// request hands a request to the engine. A malformed one goes there too, so that an earlier attempt with its id is not denied.
func (s *server) request(c echo.Context) error {
	req, err := parse(c)
	if err != nil && req.ID == "" {
		return write(c, failure(err))
	}
	reserved, body, bodyErr := s.readBody(c)
	defer s.bodies.Add(-reserved)
	if err == nil {
		err = bodyErr
	}
	req.Body = body
	req.Refusal = err
	resp := s.engine.Handle(c.Request().Context(), req)
	return write(c, resp)
}

// parse reads the headers. With an error the id is set if there is one.
func parse(c echo.Context) (entry.Request, error) {
	header := c.Request().Header
	req := entry.Request{Queue: c.Param("queue"), Key: header.Get(HeaderKey), ID: header.Get(HeaderRequestID)}
	if len(req.ID) > maxIDLength || strings.ContainsAny(req.ID, "/ \t") {
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

// readBody reads the body within the bounds on one body and on all of them. It returns the bytes that it reserved.
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
	if s.bodies.Add(reserved) > s.options.MaxTotalBodyBytes {
		return reserved, nil, errkind.New(errkind.QueueFull, "the bodies in progress are over %d bytes", s.options.MaxTotalBodyBytes)
	}
	// A writer without a deadline, as in tests, is read without one.
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(s.options.BodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
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
	return write(c, s.engine.Lookup(c.Request().Context(), key, c.Param("id")))
}

func (s *server) issue(c echo.Context) error {
	count, err := strconv.Atoi(c.QueryParam("count"))
	if err != nil {
		return write(c, failure(errkind.New(errkind.BadRequest, "count is not a number")))
	}
	key := c.Request().Header.Get(HeaderKey)
	ids, err := s.engine.IssueIDs(c.Request().Context(), key, c.QueryParam("queue"), count)
	if err != nil {
		return write(c, failure(err))
	}
	return c.JSON(http.StatusOK, map[string][]string{"ids": ids})
}

func failure(err error) entry.Response {
	k := errkind.Of(err)
	return entry.Response{Outcome: errkind.Lookup(k).Outcome, Kind: k, Message: err.Error()}
}

// problem is the body of an answer that is not a task's.
type problem struct {
	Kind    errkind.Kind    `json:"kind"`
	Outcome errkind.Outcome `json:"outcome"`
	Message string          `json:"message"`
}

// write sends an answer with its length, so that a caller notices a truncated one.
func write(c echo.Context, resp entry.Response) error {
	header := c.Response().Header()
	header.Set(HeaderOutcome, string(resp.Outcome))
	if resp.RequestID != "" {
		header.Set(HeaderRequestID, resp.RequestID)
	}
	switch {
	case resp.Outcome == errkind.Pending:
		return c.JSON(http.StatusAccepted, problem{Outcome: resp.Outcome, Message: "the request is in progress"})
	case resp.Kind != "":
		header.Set(HeaderErrorKind, string(resp.Kind))
		return c.JSON(errkind.Lookup(resp.Kind).Status, problem{resp.Kind, resp.Outcome, resp.Message})
	}
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(resp.Body)))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, resp.Body)
}
