package kernel

import (
	"context"
	"errors"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callRecorder records the order in which services are started, stopped and closed.
type callRecorder struct {
	mu   sync.Mutex
	list []string
}

func (r *callRecorder) add(call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, call)
}

// fakeService runs until its context is done, or fails immediately if fail is set.
type fakeService struct {
	name    string
	calls   *callRecorder
	fail    error
	running func()
}

func (s *fakeService) Run(ctx context.Context) error {
	if s.running != nil {
		s.running()
	}
	if s.fail != nil {
		return s.fail
	}
	<-ctx.Done()
	s.calls.add("stop " + s.name)
	return ctx.Err()
}

func (s *fakeService) Close() error {
	s.calls.add("close " + s.name)
	return nil
}

func register(t *testing.T, k *Kernel, s *fakeService, dependencies ...string) {
	require.NoError(t, k.Register(Service{Name: s.name, DependsOn: dependencies, New: func(l Lookup) (any, error) {
		for _, dependency := range dependencies {
			if _, err := Get[*fakeService](l, dependency); err != nil {
				return nil, err
			}
		}
		s.calls.add("start " + s.name)
		return s, nil
	}}))
}

// TestStartsInDependencyOrderAndStopsInReverse guards against a service that is started before a service on which it depends, or stopped
// after it.
func TestStartsInDependencyOrderAndStopsInReverse(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := &callRecorder{}
	k := New()
	register(t, k, &fakeService{name: "api", calls: calls, running: cancel}, "store", "log")
	register(t, k, &fakeService{name: "log", calls: calls}, "store")
	register(t, k, &fakeService{name: "store", calls: calls})
	require.NoError(t, k.Run(ctx))
	require.Equal(t, []string{
		"start store", "start log", "start api",
		"stop api", "close api", "stop log", "close log", "stop store", "close store",
	}, calls.list)
}

// TestFailureStopsAllInOrder guards against closing a failed service while services that depend on it still run, and against losing its
// error.
func TestFailureStopsAllInOrder(t *testing.T) {
	calls := &callRecorder{}
	broken := errors.New("broken")
	k := New()
	register(t, k, &fakeService{name: "store", calls: calls, fail: broken})
	register(t, k, &fakeService{name: "api", calls: calls}, "store")
	require.ErrorIs(t, k.Run(t.Context()), broken)
	require.Equal(t, []string{"start store", "start api", "stop api", "close api", "close store"}, calls.list)
}

// TestWiringErrorsAreReported guards against errors in the wiring of services that are detected only when a service is used.
func TestWiringErrorsAreReported(t *testing.T) {
	calls := &callRecorder{}
	cycle := New()
	register(t, cycle, &fakeService{name: "a", calls: calls}, "b")
	register(t, cycle, &fakeService{name: "b", calls: calls}, "a")
	require.ErrorContains(t, cycle.Run(t.Context()), "cycle: [a b a]")

	missing := New()
	register(t, missing, &fakeService{name: "a", calls: calls}, "nowhere")
	require.ErrorContains(t, missing.Run(t.Context()), `"a" depends on "nowhere"`)
	require.Error(t, missing.Register(Service{Name: "a", New: func(Lookup) (any, error) { return nil, nil }}))

	undeclared := New()
	register(t, undeclared, &fakeService{name: "a", calls: calls})
	require.NoError(t, undeclared.Register(Service{Name: "b", New: func(l Lookup) (any, error) { return Get[*fakeService](l, "a") }}))
	require.ErrorContains(t, undeclared.Run(t.Context()), "not among the declared dependencies")
	require.Equal(t, []string{"start a", "close a"}, calls.list, "services built before the failure are closed")

	_, err := Get[string](undeclared, "a")
	require.ErrorContains(t, err, "is a *kernel.fakeService and not a string")
}
