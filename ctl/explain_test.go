package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/operatorapi"
)

// TestExplainShowsWhereAndWhy guards against a query that doesn't carry the call, and an output that hides a refusal or a rule.
func TestExplainShowsWhereAndWhy(t *testing.T) {
	var asked operatorapi.ExplainQuery
	answer := operatorapi.ExplainAnswer{Queue: "q", Job: &dispatch.Explanation{
		Service: "pool", Reason: "over_share", RetryAfterMS: 1500, WaitMS: 2300, Class: "on time", JobsBefore: 7,
		Steps: []dispatch.ExplainedStep{{Tasks: 3, Ready: true, Tried: 2, Starts: map[string]int{"s1": 2}, Ruled: map[string]int{"label": 4}}},
	}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "/v1/jobs/explain", r.URL.Path)
		require.NoError(t, json.NewDecoder(r.Body).Decode(&asked))
		require.NoError(t, json.NewEncoder(w).Encode(answer))
	}))
	t.Cleanup(server.Close)
	f := &fixture{t: t, server: server.Listener.Addr().String()}
	file := filepath.Join(t.TempDir(), "job.json")
	require.NoError(t, os.WriteFile(file, []byte("{}"), 0o600))
	out := f.run(ExitOK, "explain", "-f", file, "-key", "k", "host", "/q/")
	require.Equal(t, operatorapi.ExplainQuery{Host: "host", Path: "/q/", Key: "k", Body: []byte("{}")}, asked)
	for _, part := range []string{"no: over_share, Retry-After 1.5 s", "2.3 s", "on time", "3 tasks; 2 start on s1; 2 servers tried; 4 ruled out: label"} {
		require.Contains(t, out, part)
	}
	var decoded operatorapi.ExplainAnswer
	require.NoError(t, json.Unmarshal([]byte(f.run(ExitOK, "explain", "-f", file, "-o", "json", "host", "/q/")), &decoded))
	require.Equal(t, answer.Job.Reason, decoded.Job.Reason)
	answer = operatorapi.ExplainAnswer{Queue: "q", Refused: "key_unknown", Message: "the key isn't known"}
	require.Contains(t, f.run(ExitOK, "explain", "-f", file, "host", "/q/"), "the key isn't known")
	f.run(ExitUsage, "explain", "host", "/q/")
}
