package jobnode

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/internal/standin/keyedstore"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// TestJobWithTwoStepsRuns guards against a job that is lost between the caller and the backend servers, and against state that only the node which
// accepted the job knows.
func TestJobWithTwoStepsRuns(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	a, b := f.startNode("a"), f.startNode("b")
	assert.Equal(t, http.StatusOK, a.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
	assert.Equal(t, http.StatusOK, b.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps), "the same id is the same job")
	for _, n := range []*testNode{a, b} {
		require.Eventually(t, func() bool { return n.phase(jobID) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
	}
	starts := f.starts()
	assert.Len(t, starts, 5)
	for task, n := range starts {
		assert.Equal(t, 1, n, task)
	}
	assert.Equal(t, http.StatusOK, b.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps), "also after its end")
	time.Sleep(500 * time.Millisecond)
	assert.Len(t, f.starts(), 5)
	code, body, _ := b.call(http.MethodGet, "/q/", testKey, "")
	assert.Equal(t, http.StatusOK, code)
	assert.JSONEq(t, `{"pending":0}`, body)
}

// TestCallsAreCheckedAgainstTheConfiguration guards against accepting a job for an unknown queue, with an unknown key, or in a form that can't be
// run, and against keys that still work after they were withdrawn.
func TestCallsAreCheckedAgainstTheConfiguration(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 0)
	n := f.startNode("a")
	for _, c := range []struct {
		what, method, path, key, body string
		status                        int
	}{
		{"no such queue", http.MethodPost, "/other/" + jobID, testKey, twoSteps, http.StatusNotFound},
		{"no key", http.MethodPost, "/q/" + jobID, "", twoSteps, http.StatusUnauthorized},
		{"unknown key", http.MethodPost, "/q/" + jobID, "key-2", twoSteps, http.StatusUnauthorized},
		{"unknown key on a state", http.MethodGet, "/q/" + jobID, "key-2", "", http.StatusUnauthorized},
		{"open queue without a key", http.MethodPost, "/q/open/" + jobID, "", twoSteps, http.StatusOK},
		{"malformed id", http.MethodPost, "/q/xyz", testKey, twoSteps, http.StatusBadRequest},
		{"invalid JSON", http.MethodPost, "/q/" + jobID, testKey, "{", http.StatusBadRequest},
		{"no steps", http.MethodPost, "/q/" + jobID, testKey, `{"spec":"x","pipeline":[]}`, http.StatusBadRequest},
		{"a step that depends on itself", http.MethodPost, "/q/" + jobID, testKey, `{"pipeline":[{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		{"no tasks", http.MethodPost, "/q/" + jobID, testKey, `{"pipeline":[{"count":0}]}`, http.StatusBadRequest},
		{"negative resources", http.MethodPost, "/q/" + jobID, testKey, `{"pipeline":[{"count":1,"cpu":-1}]}`, http.StatusBadRequest},
		{"unknown job", http.MethodGet, "/q/00000000000000ff", testKey, "", http.StatusGone},
	} {
		assert.Equal(t, c.status, n.status(c.method, c.path, c.key, c.body), c.what)
	}
	f.configure(2, "key-2")
	require.Eventually(t, func() bool {
		return n.status(http.MethodGet, "/q/", testKey, "") == http.StatusUnauthorized
	}, waitTimeout, pollInterval)
	assert.Equal(t, http.StatusOK, n.status(http.MethodGet, "/q/", "key-2", ""))
	f.configure(1, testKey)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, http.StatusOK, n.status(http.MethodGet, "/q/", "key-2", ""), "an older version is ignored")
}

// TestStaleViewRefusesKeyedCalls guards against a key that still works at a node which can't know that it was withdrawn, and against a node that
// reports itself ready meanwhile.
func TestStaleViewRefusesKeyedCalls(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 0)
	n := f.startNode("a")
	on := f.enableFault("/log-read", keyedstore.Unavailable)
	require.Eventually(t, func() bool {
		return n.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps) == http.StatusServiceUnavailable
	}, waitTimeout, pollInterval)
	assert.False(t, n.isReady())
	on.Store(false)
	require.Eventually(t, func() bool { return n.isReady() }, waitTimeout, pollInterval)
	assert.Equal(t, http.StatusOK, n.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
}

// TestUnansweredAppendIsNoRefusal guards against telling a caller that a job was not accepted although it was stored.
func TestUnansweredAppendIsNoRefusal(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	n := f.startNode("a")
	on := f.enableFault("/log-append", keyedstore.LoseAnswer)
	assert.Equal(t, http.StatusGatewayTimeout, n.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
	on.Store(false)
	require.Eventually(t, func() bool { return n.phase(jobID) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
}

// TestRefusedAppendIsARefusal guards against a caller who waits for a job that was never stored, and who isn't told when to retry.
func TestRefusedAppendIsARefusal(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	n := f.startNode("a")
	on := f.enableFault("/log-append", keyedstore.Unavailable)
	code, _, header := n.call(http.MethodPost, "/q/"+jobID, testKey, twoSteps)
	assert.Equal(t, http.StatusServiceUnavailable, code)
	assert.NotEmpty(t, header.Get("Retry-After"))
	on.Store(false)
	time.Sleep(time.Second)
	assert.Empty(t, f.starts(), "what was refused never runs")
}

// TestAnotherNodeTakesOver guards against jobs that stall, or run twice, when the dispatcher's node stops.
func TestAnotherNodeTakesOver(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	a := f.startNode("a")
	require.Equal(t, http.StatusOK, a.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
	b := f.startNode("b")
	a.stop()
	const second = "00000000000000ab"
	require.Equal(t, http.StatusOK, b.status(http.MethodPost, "/q/"+second, testKey, twoSteps))
	for _, id := range []string{jobID, second} {
		require.Eventually(t, func() bool { return b.phase(id) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
	}
	for task, n := range f.starts() {
		assert.Equal(t, 1, n, task)
	}
}

// TestDeletedLogRecordsAreNotNeeded guards against a node that needs records which the store no longer keeps.
func TestDeletedLogRecordsAreNotNeeded(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	a := f.startNode("a")
	require.Equal(t, http.StatusOK, a.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
	require.Eventually(t, func() bool { return a.phase(jobID) == `{"phase":"complete"}` }, waitTimeout, pollInterval)
	f.store.TruncateHistory("keyed.jobs")
	f.store.TruncateHistory("keyed.op")
	b := f.startNode("b")
	assert.Equal(t, `{"phase":"complete"}`, b.phase(jobID))
	assert.Equal(t, http.StatusOK, a.status(http.MethodPost, "/q/00000000000000ab", testKey, twoSteps))
	require.Eventually(t, func() bool { return b.phase("00000000000000ab") == `{"phase":"complete"}` }, waitTimeout, pollInterval)
}

// TestPlannedStopFinishesCalls guards against a planned stop that aborts calls, or that the load balancer doesn't notice in time.
func TestPlannedStopFinishesCalls(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	n := f.startNode("a")
	n.stop()
	require.Eventually(t, func() bool { return !n.isReady() }, time.Second, pollInterval)
	for deadline := time.Now().Add(stopDelay / 2); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		code, body, header := n.call(http.MethodGet, "/q/", testKey, "")
		require.Equal(t, http.StatusOK, code, body)
		assert.Equal(t, "close", header.Get("Connection"))
	}
}

// TestSettingsAreChecked guards against a node that starts with invalid settings, and against an error message that doesn't name the place in the
// file.
func TestSettingsAreChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) error {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadSettings(path)
		return err
	}
	good := "name: a\ndata_centre: z\ncaller_address: \"127.0.0.1:1\"\nready_address: \"127.0.0.1:2\"\nstore_address: \"127.0.0.1:3\"\n"
	require.NoError(t, write(good+"cores: 0.4\n"))
	assert.ErrorContains(t, write(good+"log_level: loud\n"), path+":6:12: log_level must be")
	assert.ErrorContains(t, write(good+"bounds:\n  grace: \"-1s\"\n"), "bounds.grace")
	assert.ErrorContains(t, write("name: a\n"), "store_address is missing")
}

// TestWithdrawnKeyStaysWithdrawnAfterRestart guards against a restarted node that reads an older configuration, in which a withdrawn key is still
// valid.
func TestWithdrawnKeyStaysWithdrawnAfterRestart(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1)
	n := f.startNode("a")
	require.Equal(t, http.StatusOK, n.status(http.MethodPost, "/q/"+jobID, testKey, twoSteps))
	f.configure(2, "key-2")
	require.Eventually(t, func() bool { return n.status(http.MethodGet, "/q/"+jobID, testKey, "") == http.StatusUnauthorized }, waitTimeout, pollInterval)
	n.stop()
	again := f.startNode("a")
	for range 20 {
		assert.Equal(t, http.StatusUnauthorized, again.status(http.MethodGet, "/q/"+jobID, testKey, ""))
	}
	assert.Equal(t, http.StatusOK, again.status(http.MethodGet, "/q/"+jobID, "key-2", ""))
}

// TestPanicEndsOnlyTheDispatcher guards against a panic of the scheduler that ends the whole node and drops its callers' connections, and against a
// lock that stays held, so that the node never stops dispatching.
func TestPanicEndsOnlyTheDispatcher(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d := &dispatcher{log: zerolog.Nop(), cancel: cancel, core: dispatch.New(dispatch.Params{Epoch: 1}, ledger.New(), &jobs.Configuration{}, 0, 0)}
	d.guard("schedule", func() { d.update(func(*dispatch.Core) { panic("unexpected") }) })
	assert.Error(t, ctx.Err(), "the role is given up")
	assert.False(t, d.holdsRole(), "the lock is free")
}
