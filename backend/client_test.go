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

const farLease = 60_000 // milliseconds of the server's clock

func start(t *testing.T, o backendserver.Options) (*backendserver.Server, string) {
	t.Helper()
	s := backendserver.New(o)
	l, err := backendserver.Listen("127.0.0.1:0", s)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return s, l.Addr()
}

func task(s *backendserver.Server, id string) backend.Task {
	return backend.Task{BootID: s.Status().BootID, ID: id, Queue: "quote", Team: "a", Holder: "e1", Fence: 2, StartUntil: farLease, LeaseUntil: farLease, Body: []byte(`{"run_millis":1}`)}
}

// TestRunDeliversOnlyWholeOwnAnswers guards against handing a truncated or crossed answer to a caller, and against a "not run"
// for a task that ran.
func TestRunDeliversOnlyWholeOwnAnswers(t *testing.T) {
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
			s, address := start(t, backendserver.Options{Slots: 1})
			c := backend.New(backend.Options{MaxConnsPerServer: 1})
			defer c.Close()
			s.SetFaults(tc.faults)
			_, err := c.Run(t.Context(), address, task(s, "t1"))
			assert.Equal(t, tc.want, errkind.Of(err))

			s.SetFaults(backendserver.Faults{})
			body, err := c.Run(t.Context(), address, task(s, "t2"))
			require.NoError(t, err, "the next request must not meet the broken connection")
			assert.JSONEq(t, `{"run_millis":1}`, string(body))
		})
	}
}

// TestRunRefusals guards against starting a task that the server must refuse, and checks that a refusal is known as not started.
func TestRunRefusals(t *testing.T) {
	started := 0
	s, address := start(t, backendserver.Options{Slots: 1, OnStart: func(backend.Task) { started++ }})
	c := backend.New(backend.Options{MaxConnsPerServer: 1})
	defer c.Close()
	_, err := c.Run(t.Context(), address, task(s, "first"))
	require.NoError(t, err)

	stale := task(s, "stale-fence")
	stale.Fence = 1
	past := task(s, "past-lease")
	past.LeaseUntil = 0
	late := task(s, "late")
	late.StartUntil = -1
	otherBoot := task(s, "other-boot")
	otherBoot.BootID = "earlier"
	_, err = c.Run(t.Context(), address, otherBoot)
	assert.ErrorIs(t, err, backend.ErrBootMismatch)
	for _, refused := range []backend.Task{stale, past, late, otherBoot, task(s, "first")} {
		_, err := c.Run(t.Context(), address, refused)
		assert.Equal(t, errkind.BackendRefused, errkind.Of(err), refused.ID)
	}
	_, err = c.Undrain(t.Context(), address, 7)
	require.NoError(t, err)
	_, err = c.Run(t.Context(), address, task(s, "stale-epoch"))
	assert.Equal(t, errkind.BackendRefused, errkind.Of(err))
	status, err := c.Drain(t.Context(), address, 8)
	require.NoError(t, err)
	assert.True(t, status.Draining)
	status, err = c.Undrain(t.Context(), address, 7)
	require.NoError(t, err)
	assert.True(t, status.Draining, "a delayed end of an earlier drain has no effect")
	drained := task(s, "drained")
	drained.PoolEpoch = 8
	_, err = c.Run(t.Context(), address, drained)
	assert.Equal(t, errkind.BackendRefused, errkind.Of(err))
	assert.Equal(t, 1, started)
	assert.Empty(t, s.Status().Running)
}

// TestCheckpointResumes guards against losing the work of a task that made room for urgent work.
func TestCheckpointResumes(t *testing.T) {
	begun := make(chan string, 2)
	s, address := start(t, backendserver.Options{Slots: 1, OnStart: func(t backend.Task) { begun <- t.ID }})
	c := backend.New(backend.Options{MaxConnsPerServer: 1})
	defer c.Close()
	long := task(s, "long")
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

// TestNothingSentIsNotStarted guards against calling a request unknown that certainly never left the entry VM.
func TestNothingSentIsNotStarted(t *testing.T) {
	c := backend.New(backend.Options{MaxConnsPerServer: 1})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := c.Run(ctx, "127.0.0.1:1", task(backendserver.New(backendserver.Options{}), "t"))
	assert.Equal(t, errkind.BackendRefused, errkind.Of(err))
}

// TestUsageAndThrottle guards against a throttle that reaches no task, and against taking a lagging usage report for the present.
func TestUsageAndThrottle(t *testing.T) {
	begun := make(chan string, 2)
	s, address := start(t, backendserver.Options{Slots: 2, UsageLag: time.Hour, OnStart: func(t backend.Task) { begun <- t.ID }})
	c := backend.New(backend.Options{MaxConnsPerServer: 2})
	defer c.Close()
	long := task(s, "long")
	long.Body = []byte(`{"run_millis":60000}`)
	go func() { _, _ = c.Run(context.Background(), address, long) }()
	<-begun
	require.NoError(t, c.Throttle(t.Context(), address, "long", "e1", 2))
	usage, err := c.Usage(t.Context(), address)
	require.NoError(t, err)
	assert.Equal(t, 1, usage.RunningCount)
	assert.Empty(t, usage.Running, "the report lags behind the start")

	other, otherAddress := start(t, backendserver.Options{Slots: 1, OnStart: func(t backend.Task) { begun <- t.ID }})
	again := task(other, "long")
	again.Body = long.Body
	go func() { _, _ = c.Run(context.Background(), otherAddress, again) }()
	<-begun
	require.NoError(t, c.Throttle(t.Context(), otherAddress, "long", "e1", 2))
	require.Len(t, other.Status().Running, 1)
	assert.InDelta(t, 0.5, other.Status().Running[0].Cores, 0)
}
