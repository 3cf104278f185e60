// Package soak runs nodes that accept jobs as processes of their own on stand-ins of the platform, under random faults, and checks the recorded history
// against the users' rules. A seed fixes the plan of faults and the load; the processes' own timing differs between runs.
//
// A longer soak: go test ./internal/soak -timeout 1h -args -soak.seeds=50 -soak.first=100
package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/internal/command"
)

var (
	seeds     = flag.Int("soak.seeds", 2, "number of seeds")
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	length    = flag.Duration("soak.length", 16*time.Second, "length of the plan of faults")
	nodeCount = flag.Int("soak.nodes", 6, "number of nodes")
	servers   = flag.Int("soak.servers", 8, "number of backend servers")
)

// programEnv makes this test binary run comfreyrouter instead of the tests, so that the nodes run the code under test.
const programEnv = "COMFREYROUTER_SOAK_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
		stop()
		os.Exit(code)
	}
	flag.Func("soak.late", "kinds of calls to servers without power that are carried out once they are back: starts, holds, both or none (default both)", setLate)
	flag.Parse()
	os.Exit(m.Run())
}

// TestSoak guards against work that is lost, doubled, started out of order or though it was rejected, and against processes that end by themselves,
// while nodes, servers and the store fail and the configuration changes.
func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, newPlan(seed, allWeights, *length, *nodeCount, *servers), shortTasks)
		})
	}
}

// TestServerSoak guards against the same while above all servers fail: they restart under their ids with silent connections, and are cut off soon after.
func TestServerSoak(t *testing.T) {
	for i := range (*seeds + 1) / 2 {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, newPlan(seed, serverWeights, *length, *nodeCount, *servers), shortTasks)
		})
	}
}

// TestViewSoak guards against the same, and against withdrawn keys that are accepted, while the configuration changes and nodes fall behind on it.
func TestViewSoak(t *testing.T) {
	for i := range (*seeds + 1) / 2 {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, newPlan(seed, viewWeights, *length, *nodeCount, *servers), shortTasks)
		})
	}
}

// TestUpkeepSoak guards against the same, and against orders that end too many tasks of a service or exceed the limit of a wave, while machines have their upkeep,
// orders for machines get no answer, servers fail and dispatchers are killed.
func TestUpkeepSoak(t *testing.T) {
	for i := range (*seeds + 1) / 2 {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, newPlan(seed, waveWeights, *length, *nodeCount, *servers), shortTasks)
		})
	}
}

// TestRestartedServersAreCutOff guards against the same while half of the servers lose power at once, restart under their ids and are cut off soon after,
// also with a change of the dispatcher in between. Calls for their former incarnations are carried out by the present ones.
func TestRestartedServersAreCutOff(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, newOutagePlan(seed, *length, *servers), longTasks)
		})
	}
}

func soak(t *testing.T, seed uint64, plan []event, d demand) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	require.NoError(t, err)
	w, err := startWorld(dir, seed, *nodeCount, *servers)
	defer w.close()
	require.NoError(t, err)
	l := startLoad(w, seed, d)
	w.play(plan, l)
	l.end()
	w.note("the faults have ended")
	w.checkEnds(l)
	w.note("the jobs have ended")
	w.checkRuns(l)
	accepted := 0
	for _, s := range l.submissions() {
		if !s.acceptedAt.IsZero() {
			accepted++
		}
	}
	t.Logf("seed %d: %d of %d jobs accepted, %d runs, %d calls carried out late", seed, accepted, len(l.submissions()), w.countRuns(), w.late.Load())
	t.Logf("seed %d: %d upkeeps", seed, w.countUpkeeps())
	t.Logf("seed %d: %d calls of callers on new connections, %d on open ones, %d of these to stopping nodes", seed, w.usage.onNew.Load(), w.usage.onOpen.Load(),
		w.usage.onOpenWhileStopping.Load())
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) == 0 {
		_ = os.RemoveAll(dir) // a temporary folder
		return
	}
	t.Errorf("seed %d, logs of the nodes in %s:\n%s\n%d violations:\n%s", seed, dir, strings.Join(w.notes, "\n"), len(w.violations), strings.Join(w.violations, "\n"))
}

func (w *world) countRuns() int {
	n := 0
	for _, spans := range w.spansByTask() {
		n += len(spans)
	}
	return n
}
