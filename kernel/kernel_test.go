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

// journal notes in which order services start and stop.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) add(line string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line)
}

// worker runs until its context ends, or fails at once.
type worker struct {
	name    string
	journal *journal
	fail    error
	running func()
}

func (w *worker) Run(ctx context.Context) error {
	if w.running != nil {
		w.running()
	}
	if w.fail != nil {
		return w.fail
	}
	<-ctx.Done()
	w.journal.add("stop " + w.name)
	return ctx.Err()
}

func (w *worker) Close() error {
	w.journal.add("close " + w.name)
	return nil
}

func register(t *testing.T, k *Kernel, w *worker, needs ...string) {
	require.NoError(t, k.Register(Service{Name: w.name, DependsOn: needs, New: func(l Lookup) (any, error) {
		for _, need := range needs {
			if _, err := Get[*worker](l, need); err != nil {
				return nil, err
			}
		}
		w.journal.add("start " + w.name)
		return w, nil
	}}))
}

// Guards against a service that outlives what it needs, at the start or at the stop.
func TestStartsInOrderOfNeedsAndStopsInReverse(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	j := &journal{}
	k := New()
	register(t, k, &worker{name: "api", journal: j, running: cancel}, "store", "log")
	register(t, k, &worker{name: "log", journal: j}, "store")
	register(t, k, &worker{name: "store", journal: j})
	require.NoError(t, k.Run(ctx))
	require.Equal(t, []string{
		"start store", "start log", "start api",
		"stop api", "close api", "stop log", "close log", "stop store", "close store",
	}, j.lines)
}

// Guards against a failed service that is closed under the services that still need it, and against a lost error.
func TestFailureStopsAllInOrder(t *testing.T) {
	j := &journal{}
	broken := errors.New("broken")
	k := New()
	register(t, k, &worker{name: "store", journal: j, fail: broken})
	register(t, k, &worker{name: "api", journal: j}, "store")
	require.ErrorIs(t, k.Run(t.Context()), broken)
	require.Equal(t, []string{"start store", "start api", "stop api", "close api", "close store"}, j.lines)
}

// Guards against faults of the wiring that show only in use.
func TestWiringFaultsAreErrors(t *testing.T) {
	j := &journal{}
	cycle := New()
	register(t, cycle, &worker{name: "a", journal: j}, "b")
	register(t, cycle, &worker{name: "b", journal: j}, "a")
	require.ErrorContains(t, cycle.Run(t.Context()), "cycle: [a b a]")

	missing := New()
	register(t, missing, &worker{name: "a", journal: j}, "nowhere")
	require.ErrorContains(t, missing.Run(t.Context()), `"a" needs "nowhere"`)
	require.Error(t, missing.Register(Service{Name: "a", New: func(Lookup) (any, error) { return nil, nil }}))

	undeclared := New()
	register(t, undeclared, &worker{name: "a", journal: j})
	require.NoError(t, undeclared.Register(Service{Name: "b", New: func(l Lookup) (any, error) { return Get[*worker](l, "a") }}))
	require.ErrorContains(t, undeclared.Run(t.Context()), "not among the declared needs")
	require.Equal(t, []string{"start a", "close a"}, j.lines, "what was built before the failure is closed")

	_, err := Get[string](undeclared, "a")
	require.ErrorContains(t, err, "is a *kernel.worker and not a string")
}
