package jobnode

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

const (
	// defaultBody bounds a job's body if the configuration doesn't, in bytes.
	defaultBody = 256 << 10
	// callTimeout bounds a call; callers wait about 3 s.
	callTimeout = 2800 * time.Millisecond
	// retryAfterSoon is when a caller may come back after a refusal for a short outage.
	retryAfterSoon = time.Second
)

// front answers members' calls.
type front struct{ node *Node }

// handler returns the HTTP handler of members' calls.
func (n *Node) handler() http.Handler {
	f := &front{n}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Any("/*", f.call)
	return e
}

// target is the queue of a call, and the id of the job if it names one.
type target struct {
	route     *jobs.Route
	workspace string
	id        string
	view      view
}

func (f *front) call(c echo.Context) error {
	if f.node.stopping.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	t, err := f.target(c.Request())
	if err != nil {
		return f.refuse(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	switch {
	case t.id == "" && c.Request().Method == http.MethodGet:
		return f.pending(c, t)
	case !jobs.ValidID(t.id):
		return f.refuse(c, errkind.New(errkind.BadRequest, "%q is not the id of a job", t.id))
	}
	switch c.Request().Method {
	case http.MethodPost:
		return f.submit(ctx, c, t)
	case http.MethodGet:
		return f.state(c, t)
	case http.MethodDelete:
		return f.cancel(ctx, c, t)
	}
	return f.refuse(c, errkind.New(errkind.BadRequest, "method %s", c.Request().Method))
}

// target finds the queue of a call and checks its key.
func (f *front) target(r *http.Request) (target, error) {
	v := f.node.operators.view()
	if v.config == nil {
		return target{}, errkind.New(errkind.ViewNotFresh, "no configuration is known yet")
	}
	route := findRoute(v.config, r.Host, r.URL.Path)
	if route == nil {
		return target{}, errkind.New(errkind.QueueUnknown, "no queue for %s%s", r.Host, r.URL.Path)
	}
	t := target{route: route, id: strings.TrimPrefix(r.URL.Path, route.Prefix), view: v}
	if route.Public {
		t.workspace = v.keys[platform.CallerKey(r)]
		return t, nil
	}
	key := platform.CallerKey(r)
	workspace, known := v.keys[key]
	if !known {
		if key == "" {
			return target{}, errkind.New(errkind.KeyMissing, "queue %s needs a key", route.Name)
		}
		return target{}, errkind.New(errkind.KeyUnknown, "the key isn't known")
	}
	if !v.fresh {
		return target{}, errkind.New(errkind.ViewNotFresh, "the key can't be confirmed")
	}
	t.workspace = workspace
	return t, nil
}

// findRoute returns the queue with the longest prefix.
func findRoute(config *jobs.Configuration, host, path string) *jobs.Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	host = strings.ToLower(host)
	var best *jobs.Route
	for i := range config.Routes {
		r := &config.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// stillValid reports whether the key of a call still counts after the call has waited.
func (f *front) stillValid(t target) bool {
	return t.route.Public || f.node.operators.view().fresh
}

func (f *front) submit(ctx context.Context, c echo.Context, t target) error {
	sub, err := f.submission(c.Request(), t)
	if err != nil {
		return f.refuse(c, err)
	}
	if !f.node.follower.known(t.id) {
		if err := admit(sub.ID, f.node.follower.open()); err != nil {
			return f.refuse(c, err)
		}
		v, asked := f.node.asker.ask(ctx, sub)
		if !v.Accepted {
			return f.refuse(c, &retryLater{errkind.New(errkind.QueueFull, "%s at %s", v.Reason, sub.Service), v.Return})
		}
		if err := f.put(ctx, ledger.SubmissionRecord(sub)); err != nil {
			if !asked && errkind.Of(err) == errkind.ClaimUnconfirmed {
				go f.node.asker.noteUnknown(sub.ID)
			}
			return f.refuse(c, err)
		}
	}
	if !f.stillValid(t) {
		return f.refuse(c, errkind.New(errkind.ClaimUnconfirmed, "the key can't be confirmed any more"))
	}
	f.node.metrics.accepted.Inc()
	events.Log(f.node.log, events.JobStored, sub.ID, sub.Route, sub.Workspace, t.view.config.Version, time.Now().UnixMilli()-sub.ReceivedMS)
	return c.NoContent(http.StatusOK)
}

func (f *front) submission(r *http.Request, t target) (jobs.Submission, error) {
	limit := t.view.config.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return jobs.Submission{}, errkind.Wrap(errkind.BadRequest, err)
	}
	if int64(len(body)) > limit {
		return jobs.Submission{}, errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	spec, err := platform.DecodeSpec(body)
	if err != nil {
		return jobs.Submission{}, err
	}
	if err := spec.Validate(); err != nil {
		return jobs.Submission{}, err
	}
	return jobs.Submission{
		ID: t.id, Route: t.route.Name, Service: t.route.Service, Workspace: t.workspace, Priority: t.route.Priority,
		MaxAttempts: max(t.route.MaxAttempts, 1), SlackFactor: t.route.SlackFactor, TargetMS: t.route.TargetMS,
		ReceivedMS: time.Now().UnixMilli(), Spec: spec,
	}, nil
}

// put stores a record, or says truly whether it may be stored.
func (f *front) put(ctx context.Context, r ledger.Record) error {
	err := f.node.writer.Put(ctx, r)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrNotWritten):
		return errkind.Wrap(errkind.LogUnavailable, err)
	}
	return errkind.Wrap(errkind.ClaimUnconfirmed, err)
}

func (f *front) state(c echo.Context, t target) error {
	phase, known, fresh := f.node.follower.phase(t.id)
	switch {
	case known:
		return c.JSONBlob(http.StatusOK, platform.EncodePhase(phase))
	case !fresh:
		return f.refuse(c, errkind.New(errkind.ViewNotFresh, "the jobs can't be read"))
	}
	return c.NoContent(http.StatusGone)
}

func (f *front) pending(c echo.Context, t target) error {
	n, fresh := f.node.follower.pending(t.route.Name)
	if !fresh {
		return f.refuse(c, errkind.New(errkind.ViewNotFresh, "the jobs can't be read"))
	}
	return c.JSONBlob(http.StatusOK, platform.EncodePending(n))
}

// cancel stores that a job is cancelled. A job that isn't known here may have been accepted elsewhere a moment ago.
func (f *front) cancel(ctx context.Context, c echo.Context, t target) error {
	if f.node.follower.over(t.id) {
		return c.NoContent(http.StatusOK)
	}
	if err := f.put(ctx, ledger.CancelRecord(t.id)); err != nil {
		return f.refuse(c, err)
	}
	return c.NoContent(http.StatusOK)
}

// status is the status of an error towards members. A write that may have happened is no refusal.
func status(kind errkind.Kind) int {
	switch kind {
	case errkind.ClaimUnconfirmed:
		return http.StatusGatewayTimeout
	case errkind.KeyWithdrawn:
		return http.StatusUnauthorized
	}
	return errkind.Lookup(kind).Status
}

// refuse answers a call that isn't done.
func (f *front) refuse(c echo.Context, err error) error {
	kind := errkind.Of(err)
	code := status(kind)
	f.node.metrics.refused.WithLabelValues(string(kind)).Inc()
	events.Log(f.node.log, events.CallRefused, c.Request().Method, shortened(c.Request().URL.Path), string(kind), code, err)
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		after := retryAfterSoon
		var later *retryLater
		if errors.As(err, &later) {
			after = later.after
		}
		c.Response().Header().Set("Retry-After", strconv.Itoa(max(1, int((after+time.Second-1)/time.Second))))
	}
	return c.JSON(code, map[string]string{"error": string(kind)})
}

// maxLoggedPath bounds what callers can put into a log line, in bytes.
const maxLoggedPath = 120

func shortened(path string) string { return path[:min(len(path), maxLoggedPath)] }

// known reports whether a job was accepted.
func (f *follower) known(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Known(id)
}

// over reports whether a job has ended.
func (f *follower) over(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.ledger.Jobs[id]
	return e != nil && e.Final != nil
}

// phase returns the state of a job, whether it is known, and whether the ledger was read lately.
func (f *follower) phase(id string) (jobs.Phase, bool, bool) {
	fresh := f.fresh()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ledger.Known(id) {
		return "", false, fresh
	}
	return f.ledger.Jobs[id].Phase(), true, fresh
}

// pending returns the number of a queue's jobs that have not begun, and whether the ledger was read lately.
func (f *follower) pending(route string) (int, bool) {
	fresh := f.fresh()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.CountQueued(route), fresh
}
