package callerapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/entry"
	"example.org/comfreyrouter/errkind"
)

// fakeEngine responds to a request with the request's body, or refuses it as the engine does.
type fakeEngine struct {
	got   entry.Request
	calls int
}

func (f *fakeEngine) Handle(_ context.Context, req entry.Request) entry.Response {
	f.got = req
	f.calls++
	if req.Refusal != nil {
		resp := errorResponse(req.Refusal)
		resp.RequestID = req.ID
		return resp
	}
	return entry.Response{RequestID: req.ID, Outcome: errkind.Done, Body: req.Body}
}

func (f *fakeEngine) Lookup(_ context.Context, _, id string) entry.Response {
	return entry.Response{RequestID: id, Outcome: errkind.Pending}
}

func (f *fakeEngine) IssueIDs(_ context.Context, key, _ string, n int) ([]string, error) {
	if key == "" {
		return nil, errkind.New(errkind.KeyMissing, "no key was sent")
	}
	return make([]string, n), nil
}

func (f *fakeEngine) Joined() bool { return false }

func serve(f *fakeEngine, o Options, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	New(f, o).ServeHTTP(w, req)
	return w
}

// TestHeaders guards against a request that runs although one of its headers is missing, malformed or duplicated, or its body is too large.
func TestHeaders(t *testing.T) {
	id := ulid.Make().String()
	cases := []struct {
		name    string
		headers []string
		body    string
		kind    errkind.Kind
	}{
		{"valid", []string{HeaderRequestID, id, HeaderDeadline, "100", HeaderRepeatable, "false"}, "x", ""},
		{"no id, repeatable", []string{HeaderDeadline, "100", HeaderRepeatable, "true"}, "x", ""},
		{"no id", []string{HeaderDeadline, "100", HeaderRepeatable, "false"}, "x", errkind.BadRequest},
		{"id is no ULID", []string{HeaderRequestID, "7", HeaderDeadline, "100", HeaderRepeatable, "false"}, "x", errkind.BadRequest},
		{"no deadline", []string{HeaderRequestID, id, HeaderRepeatable, "false"}, "x", errkind.BadRequest},
		{"bad deadline", []string{HeaderRequestID, id, HeaderDeadline, "1s", HeaderRepeatable, "false"}, "x", errkind.BadRequest},
		{"deadline too long", []string{HeaderRequestID, id, HeaderDeadline, "999999999999", HeaderRepeatable, "false"}, "x", errkind.BadRequest},
		{"no repeatable header", []string{HeaderRequestID, id, HeaderDeadline, "100"}, "x", errkind.BadRequest},
		{"bad repeatable header", []string{HeaderRequestID, id, HeaderDeadline, "100", HeaderRepeatable, "TRUE"}, "x", errkind.BadRequest},
		{"two repeatable headers", []string{HeaderRequestID, id, HeaderDeadline, "100", HeaderRepeatable, "true", HeaderRepeatable, "false"}, "x", errkind.BadRequest},
		{"large body", []string{HeaderRequestID, id, HeaderDeadline, "100", HeaderRepeatable, "false"}, "12345", errkind.BodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeEngine{}
			w := serve(f, Options{MaxBodyBytes: 4, MaxTotalBodyBytes: 100}, http.MethodPost, "/v1/requests/quotes", c.body, c.headers...)
			require.Equal(t, string(c.kind), w.Header().Get(HeaderErrorKind), w.Body.String())
			if c.kind != "" {
				require.Equal(t, errkind.Lookup(c.kind).Status, w.Code)
				require.Equal(t, "not_run", w.Header().Get(HeaderOutcome))
				require.True(t, f.calls == 0 || f.got.Refusal != nil, "a malformed request was run")
				return
			}
			require.Equal(t, http.StatusOK, w.Code)
			require.Equal(t, "done", w.Header().Get(HeaderOutcome))
			require.Equal(t, strconv.Itoa(len(c.body)), w.Header().Get("Content-Length"))
			require.Equal(t, c.body, w.Body.String())
			require.Equal(t, 100*time.Millisecond, f.got.TimeLeft)
			_, err := ulid.ParseStrict(w.Header().Get(HeaderRequestID))
			require.NoError(t, err)
		})
	}
}

// TestBodiesAreBounded guards against concurrent large bodies that exhaust the memory of an entry VM.
func TestBodiesAreBounded(t *testing.T) {
	w := serve(&fakeEngine{}, Options{MaxBodyBytes: 4, MaxTotalBodyBytes: 3}, http.MethodPost, "/v1/requests/quotes", "1234",
		HeaderDeadline, "100", HeaderRepeatable, "true")
	require.Equal(t, string(errkind.QueueFull), w.Header().Get(HeaderErrorKind))
}

// TestOtherPaths guards against wrong statuses of lookups, issued ids, health and readiness checks, and unknown paths.
func TestOtherPaths(t *testing.T) {
	o := DefaultOptions()
	require.Equal(t, http.StatusAccepted, serve(&fakeEngine{}, o, http.MethodGet, "/v1/requests/7", "").Code)
	require.Equal(t, http.StatusUnauthorized, serve(&fakeEngine{}, o, http.MethodPost, "/v1/request-ids?count=2", "").Code)
	require.Equal(t, http.StatusBadRequest, serve(&fakeEngine{}, o, http.MethodPost, "/v1/request-ids?count=x", "").Code)
	require.JSONEq(t, `{"ids":["",""]}`, serve(&fakeEngine{}, o, http.MethodPost, "/v1/request-ids?count=2", "", HeaderKey, "k").Body.String())
	require.Equal(t, http.StatusOK, serve(&fakeEngine{}, o, http.MethodGet, "/healthz", "").Code)
	require.Equal(t, http.StatusServiceUnavailable, serve(&fakeEngine{}, o, http.MethodGet, "/readyz", "").Code)
	require.Equal(t, "not_run", serve(&fakeEngine{}, o, http.MethodGet, "/nothing", "").Header().Get(HeaderOutcome))
}
