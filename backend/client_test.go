package backend_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/standin/backendserver"
)

const farLeaseMillis = 60_000 // on the server's clock

func startServer(t *testing.T, o backendserver.Options) (*backendserver.Server, string) {
	t.Helper()
	s := backendserver.New(o)
	l, err := backendserver.Listen("127.0.0.1:0", s)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return s, l.Addr()
}

func newTask(s *backendserver.Server, id string) backend.Task {
	return backend.Task{
		BootID: s.Status().BootID, ID: id, Queue: "quote", Team: "a", Holder: "e1", Fence: 2,
		StartUntil: farLeaseMillis, LeaseUntil: farLeaseMillis, Body: []byte(`{"run_millis":1}`),
	}
}

// TestRunReturnsOnlyCompleteOwnAnswers guards against returning a truncated answer or that of another task, and against reporting
// a task as not run although it ran.
func TestRunReturnsOnlyCompleteOwnAnswers(t *testing.T) {
	cases := map[string]struct {
		faults backendserver.Faults
		want   errkind.Kind
	}{
		"truncated": {backendserver.Faults{Truncate: true}, errkind.AnswerCorrupt},
		"crossed":   {backendserver.Faults{Cross: true}, errkind.AnswerCorrupt},
		"corrupt":   {backendserver.Faults{Corrupt: true}, errkind.AnswerCorrupt},
		"dropped":   {backendserver.Faults{Drop: true}, errkind.BackendLost},
		"failed":    {backendserver.Faults{FailAll: true}, errkind.BackendFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t, backendserver.Options{Slots: 1})
			c := backend.New(backend.Options{MaxConnsPerServer: 1})
			defer c.Close()
			s.SetFaults(tc.faults)
			_, err := c.Run(t.Context(), address, newTask(s, "t1"))
			assert.Equal(t, tc.want, errkind.Of(err))

			s.SetFaults(backendserver.Faults{})
			body, err := c.Run(t.Context(), address, newTask(s, "t2"))
			require.NoError(t, err, "the next request must not use the broken connection")
			assert.JSONEq(t, `{"run_millis":1}`, string(body))
		})
	}
}

// TestRunRefusals guards against starting a task that the server must refuse, and against a refusal that isn't reported as not started.
func TestRunRefusals(t *testing.T) {
	started := 0
	s, address := startServer(t, backendserver.Options{Slots: 1, OnStart: func(backend.Task) { started++ }})
	c := backend.New(backend.Options{MaxConnsPerServer: 1})
	defer c.Close()
	_, err := c.Run(t.Context(), address, newTask(s, "first"))
	require.NoError(t, err)

	stale := newTask(s, "stale-fence")
	stale.Fence = 1
	past := newTask(s, "past-lease")
	past.LeaseUntil = 0
	late := newTask(s, "late")
	late.StartUntil = -1
	otherBoot := newTask(s, "other-boot")
	otherBoot.BootID = "earlier"
	_, err = c.Run(t.Context(), address, otherBoot)
	assert.ErrorIs(t, err, backend.ErrBootMismatch)
	for _, refused := range []backend.Task{stale, past, late, otherBoot, newTask(s, "first")} {
		_, err := c.Run(t.Context(), address, refused)
		assert.Equal(t, errkind.BackendRefused, errkind.Of(err), refused.ID)
	}
	_, err = c.Undrain(t.Context(), address, 7)
	require.NoError(t, err)
	_, err = c.Run(t.Context(), address, newTask(s, "stale-epoch"))
	assert.Equal(t, errkind.BackendRefused, errkind.Of(err))
	status, err := c.Drain(t.Context(), address, 8)
	require.NoError(t, err)
	assert.True(t, status.Draining)
	status, err = c.Undrain(t.Context(), address, 7)
	require.NoError(t, err)
	assert.True(t, status.Draining, "a delayed end of an earlier drain has no effect")
	drained := newTask(s, "drained")
	drained.PoolEpoch = 8
	_, err = c.Run(t.Context(), address, drained)
	assert.Equal(t, errkind.BackendRefused, errkind.Of(err))
	assert.Equal(t, 1, started)
	assert.Empty(t, s.Status().Running)
}

// TestCheckpointReturnsState guards against losing the progress of a task that was checkpointed to free its slot for an urgent task.
func TestCheckpointReturnsState(t *testing.T) {
	begun := make(chan string, 2)
	s, address := startServer(t, backendserver.Options{Slots: 1, OnStart: func(t backend.Task) { begun <- t.ID }})
	c := backend.New(backend.Options{MaxConnsPerServer: 1})
	defer c.Close()
	long := newTask(s, "long")
	long.Body = []byte(`{"order":"o1","run_millis":60000}`)
	failed := make(chan error, 1)
	go func() {
		_, err := c.Run(context.Background(), address, long)
		failed <- err
	}()
	<-begun
	require.NoError(t, c.Checkpoint(t.Context(), address, "long", "e1", 2))
	var saved *backend.Checkpoint
	require.True(t, errors.As(<-failed, &saved))
	assert.Contains(t, string(saved.State), `"order":"o1"`)
}

// TestNothingSentIsNotStarted guards against reporting the outcome as unknown for a request that was certainly never sent.
func TestNothingSentIsNotStarted(t *testing.T) {
	c := backend.New(backend.Options{MaxConnsPerServer: 1})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := c.Run(ctx, "127.0.0.1:1", newTask(backendserver.New(backendserver.Options{}), "t"))
	assert.Equal(t, errkind.BackendRefused, errkind.Of(err))
}

// TestUsageAndThrottle guards against a throttle call without effect on the task, and against treating a delayed usage report as current.
func TestUsageAndThrottle(t *testing.T) {
	begun := make(chan string, 2)
	s, address := startServer(t, backendserver.Options{Slots: 2, UsageLag: time.Hour, OnStart: func(t backend.Task) { begun <- t.ID }})
	c := backend.New(backend.Options{MaxConnsPerServer: 2})
	defer c.Close()
	long := newTask(s, "long")
	long.Body = []byte(`{"run_millis":60000}`)
	go func() { _, _ = c.Run(context.Background(), address, long) }()
	<-begun
	require.NoError(t, c.Throttle(t.Context(), address, "long", "e1", 2))
	usage, err := c.Usage(t.Context(), address)
	require.NoError(t, err)
	assert.Equal(t, 1, usage.RunningCount)
	assert.Empty(t, usage.Running, "the report is older than the start")

	other, otherAddress := startServer(t, backendserver.Options{Slots: 1, OnStart: func(t backend.Task) { begun <- t.ID }})
	again := newTask(other, "long")
	again.Body = long.Body
	go func() { _, _ = c.Run(context.Background(), otherAddress, again) }()
	<-begun
	require.NoError(t, c.Throttle(t.Context(), otherAddress, "long", "e1", 2))
	require.Len(t, other.Status().Running, 1)
	assert.InDelta(t, 0.5, other.Status().Running[0].Cores, 0)
}
