package jobnode

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/internal/ingress"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
)

const (
	// defaultMaxBodyBytes bounds the body of a job if the configuration sets no limit.
	defaultMaxBodyBytes = 256 << 10
	// callTimeout bounds the handling of a call; callers wait about 3 s.
	callTimeout = 2800 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a refusal that is due to a short outage.
	defaultRetryAfter = time.Second
)

// apiHandler serves the HTTP API of the jobs.
type apiHandler struct{ node *Node }

// handler returns the HTTP handler for callers.
func (n *Node) handler() http.Handler {
	h := &apiHandler{n}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.Any("/*", h.handle)
	return e
}

// target is the queue that a call addresses, and the id of the job if the call names one.
type target struct {
	route     *jobs.Route
	workspace string
	id        string
	view      operatorView
}

func (h *apiHandler) handle(c echo.Context) error {
	if h.node.stopping.Load() {
		c.Response().Header().Set("Connection", "close")
	}
	t, err := h.target(c.Request())
	if err != nil {
		return h.refuse(c, err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	switch {
	case t.id == "" && c.Request().Method == http.MethodGet:
		return h.pending(c, t)
	case !jobs.ValidID(t.id):
		return h.refuse(c, errkind.New(errkind.BadRequest, "%q is not the id of a job", truncatePath(t.id)))
	}
	switch c.Request().Method {
	case http.MethodPost:
		return h.submit(ctx, c, t)
	case http.MethodGet:
		return h.state(c, t)
	case http.MethodDelete:
		return h.cancel(ctx, c, t)
	}
	return h.refuse(c, errkind.New(errkind.BadRequest, "method %s", c.Request().Method))
}

// target finds the queue of a call and checks the caller's key.
func (h *apiHandler) target(r *http.Request) (target, error) {
	return findTarget(h.node.operators.view(), r.Host, r.URL.Path, platform.CallerKey(r))
}

// findTarget finds the queue of a call and checks the caller's key.
func findTarget(v operatorView, host, path, key string) (target, error) {
	if v.config == nil {
		return target{}, errkind.New(errkind.ViewNotFresh, "no configuration is known yet")
	}
	route := findRoute(v.config, host, path)
	if route == nil {
		return target{}, errkind.New(errkind.QueueUnknown, "no queue for %s%s", truncatePath(host), truncatePath(path))
	}
	t := target{route: route, id: strings.TrimPrefix(path, route.Prefix), view: v}
	if route.Public {
		t.workspace = v.keys[key]
		return t, nil
	}
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

// findRoute returns the queue with the longest prefix that matches a path.
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

// keyConfirmed reports whether the key of a call is still known to be valid after the call has waited.
func (h *apiHandler) keyConfirmed(t target) bool {
	return t.route.Public || h.node.operators.view().fresh
}

func (h *apiHandler) submit(ctx context.Context, c echo.Context, t target) error {
	sub, err := h.submission(c.Request(), t)
	if err != nil {
		return h.refuse(c, err)
	}
	if !h.node.follower.known(t.id) {
		if err := checkOpenJobs(sub.ID, h.node.follower.openJobs()); err != nil {
			return h.refuse(c, err)
		}
		v, decided := h.node.admissionClient.ask(ctx, sub)
		if !v.Accepted {
			return h.refuse(c, &retryAfterError{errkind.New(errkind.QueueFull, "%s at %s", v.Reason, sub.Service), v.Return})
		}
		if err := h.store(ctx, ledger.SubmissionRecord(sub)); err != nil {
			if !decided && errkind.Of(err) == errkind.ClaimUnconfirmed {
				go h.node.admissionClient.notifyAccepted(sub.ID)
			}
			return h.refuse(c, err)
		}
	}
	if !h.keyConfirmed(t) {
		return h.refuse(c, errkind.New(errkind.ClaimUnconfirmed, "the key can't be confirmed any more"))
	}
	h.node.metrics.accepted.Inc()
	events.Log(h.node.log, events.JobStored, sub.ID, sub.Route, sub.Workspace, t.view.config.Version, time.Now().UnixMilli()-sub.ReceivedMS)
	return c.NoContent(http.StatusOK)
}

func (h *apiHandler) submission(r *http.Request, t target) (jobs.Submission, error) {
	limit := t.view.config.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := ingress.ReadBody(r, limit)
	if errors.Is(err, ingress.ErrRefused) {
		return jobs.Submission{}, errkind.New(errkind.QueueFull, "%v", err)
	}
	if err != nil {
		return jobs.Submission{}, errkind.Wrap(errkind.BadRequest, err)
	}
	if int64(len(body)) > limit {
		return jobs.Submission{}, errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes", limit)
	}
	return newSubmission(t, body)
}

// newSubmission returns the submission of a job with a body.
func newSubmission(t target, body []byte) (jobs.Submission, error) {
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

// store stores a record. The kind of its error says whether the record is certainly not stored (LogUnavailable) or may be (ClaimUnconfirmed).
func (h *apiHandler) store(ctx context.Context, r ledger.Record) error {
	err := h.node.writer.Put(ctx, r)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrNotWritten):
		return errkind.Wrap(errkind.LogUnavailable, err)
	}
	return errkind.Wrap(errkind.ClaimUnconfirmed, err)
}

func (h *apiHandler) state(c echo.Context, t target) error {
	phase, known, fresh := h.node.follower.phase(t.id)
	switch {
	case known:
		return c.JSONBlob(http.StatusOK, platform.EncodePhase(phase))
	case !fresh:
		return h.refuse(c, errkind.New(errkind.ViewNotFresh, "the jobs can't be read"))
	}
	return c.NoContent(http.StatusGone)
}

func (h *apiHandler) pending(c echo.Context, t target) error {
	n, fresh := h.node.follower.pending(t.route.Name)
	if !fresh {
		return h.refuse(c, errkind.New(errkind.ViewNotFresh, "the jobs can't be read"))
	}
	return c.JSONBlob(http.StatusOK, platform.EncodePending(n))
}

// cancel stores the cancellation of a job. A job that isn't known here may have been accepted by another node a moment ago.
func (h *apiHandler) cancel(ctx context.Context, c echo.Context, t target) error {
	if h.node.follower.ended(t.id) {
		return c.NoContent(http.StatusOK)
	}
	if err := h.store(ctx, ledger.CancelRecord(t.id)); err != nil {
		return h.refuse(c, err)
	}
	return c.NoContent(http.StatusOK)
}

// httpStatus returns the HTTP status of an error kind. A write that may have succeeded must not look like a refusal.
func httpStatus(kind errkind.Kind) int {
	switch kind {
	case errkind.ClaimUnconfirmed:
		return http.StatusGatewayTimeout
	case errkind.KeyWithdrawn:
		return http.StatusUnauthorized
	}
	return errkind.Lookup(kind).Status
}

// refuse answers a call with an error.
func (h *apiHandler) refuse(c echo.Context, err error) error {
	kind := errkind.Of(err)
	code := httpStatus(kind)
	h.node.metrics.refused.WithLabelValues(string(kind)).Inc()
	events.Log(h.node.log, events.CallRefused, c.Request().Method, truncatePath(c.Request().URL.Path), string(kind), code, err)
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		after := defaultRetryAfter
		var later *retryAfterError
		if errors.As(err, &later) {
			after = later.after
		}
		c.Response().Header().Set("Retry-After", strconv.Itoa(max(1, int((after+time.Second-1)/time.Second))))
	}
	return c.JSON(code, map[string]string{"error": string(kind)})
}

// maxLoggedPath bounds what callers can put into a log line, in bytes.
const maxLoggedPath = 120

func truncatePath(path string) string { return path[:min(len(path), maxLoggedPath)] }

// known reports whether a job was accepted.
func (f *follower) known(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Known(id)
}

// ended reports whether a job has ended.
func (f *follower) ended(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.ledger.Jobs[id]
	return e != nil && e.Final != nil
}

// phase returns the state of a job, whether the job is known, and whether the ledger was read recently.
func (f *follower) phase(id string) (jobs.Phase, bool, bool) {
	fresh := f.fresh()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ledger.Known(id) {
		return "", false, fresh
	}
	return f.ledger.Jobs[id].Phase(), true, fresh
}

// pending returns the number of a queue's jobs that have not started, and whether the ledger was read recently.
func (f *follower) pending(route string) (int, bool) {
	fresh := f.fresh()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.CountQueued(route), fresh
}
