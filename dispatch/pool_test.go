package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// TestPeakPassComparesNoJobWithEachServer guards against scheduling passes that take most of the dispatcher's processor time during a demand peak,
// because each waiting job is compared with each server of a large pool.
func TestPeakPassComparesNoJobWithEachServer(t *testing.T) {
	const waiting, poolServers = 1500, 600
	c, now := overloaded(waiting, poolServers)
	for _, after := range []time.Duration{0, 10 * time.Second} { // all jobs are late at the second time
		for _, s := range c.servers {
			s.recvAt = now + after
		}
		c.Advance(now+after, (now + after).Milliseconds(), true)
		c.TakeEventCounts()
		c.Schedule()
		assert.LessOrEqual(t, c.TakeEventCounts()["servers_examined"], maxTooLarge*poolServers, "%s later", after)
	}
}

// TestStartsDuringAPeakExamineFewServers guards against starts that compare a task with each idle server of a large pool.
func TestStartsDuringAPeakExamineFewServers(t *testing.T) {
	const waiting, poolServers = 500, 600
	c, _ := overloaded(waiting, poolServers)
	runs := c.Counts().Runs
	require.Greater(t, runs, 2000)
	assert.LessOrEqual(t, c.TakeEventCounts()["servers_examined"], 10*runs+100*poolServers)
}

// randomPool returns a core with servers of random sizes and usage, and a pool of all of them.
func randomPool(rng *rand.Rand) (*Core, *serverPool) {
	config := &jobs.Configuration{Version: 1, Services: map[string]jobs.Service{"pool": {Name: "pool"}}, Workspaces: []jobs.Workspace{{Name: "w"}}}
	c := New(Params{Epoch: 1, Lease: testLease}, ledger.New(), config, time.Minute, time.Minute.Milliseconds())
	pool := &serverPool{}
	for i := range 1 + rng.IntN(30) {
		s := c.newServer(jobs.Server{ID: fmt.Sprintf("s%02d", i), Service: "pool", Labels: []string{"a", fmt.Sprintf("r%d", i%3)}})
		s.info.Capacity = jobs.Resources{CPU: 1000 * rng.Int64N(9), MemoryMB: 1000 * rng.Int64N(9)}
		s.used = jobs.Resources{CPU: 500 * rng.Int64N(12), MemoryMB: 500 * rng.Int64N(12)}
		s.consecutiveFailures = max(0, rng.IntN(8)-5)
		pool.add(s)
	}
	pool.sort()
	return c, pool
}

// TestChosenServerIsTheCheapest guards against a search that misses the best server, or a server that could run a task.
func TestChosenServerIsTheCheapest(t *testing.T) {
	rng := rand.New(rand.NewPCG(41, 0))
	started := 0
	for range 300 {
		c, pool := randomPool(rng)
		for i := range 40 {
			sub := &jobs.Submission{ID: fmt.Sprintf("%016x", i), Service: "pool", Workspace: "w", Spec: jobs.Spec{Steps: []jobs.Step{{
				Count: 1, Need: jobs.Resources{CPU: 250 * rng.Int64N(12), MemoryMB: 250 * rng.Int64N(12)}, Fills: rng.IntN(4) == 0,
			}}}}
			if rng.IntN(3) == 0 {
				sub.Spec.Steps[0].Rack = fmt.Sprintf("r%d", rng.IntN(3))
			}
			j := &job{sub: sub, occurrences: map[int]*occurrence{}}
			tsk := j.addOccurrence(0).steps[0].tasks[0]
			expected := c.chooseGangServer(tsk, pool.servers, nil)
			at, found := c.chooseServer(tsk, pool)
			require.Equal(t, expected != nil, found)
			if !found {
				continue
			}
			require.Equal(t, expected.info.ID, pool.servers[at].info.ID)
			c.start(tsk, pool.servers[at], false)
			pool.taskStarted(at, tsk.step.spec.Allocation(), false)
			started++
		}
		order := append([]*server(nil), pool.servers...)
		pool.sort()
		require.Equal(t, order, pool.servers, "starts keep the order")
	}
	require.Greater(t, started, 1000)
}
