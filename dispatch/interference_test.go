package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/interference"
	"example.org/comfreyrouter/jobs"
)

const (
	victimImage, disturberImage = "victim", "disturber"
	plantedSlowdown             = 2.0
)

// interferenceSimulation runs tasks of two images, one of which slows the other down.
type interferenceSimulation struct {
	*simulation
	victims, disturbed int // started victims, and those with a disturber beside them
}

func newInterferenceSimulation(seed uint64, mode InterferenceMode) *interferenceSimulation {
	sim := &interferenceSimulation{simulation: newSimulation(seed, 20)}
	sim.config.Workspaces = []jobs.Workspace{{Name: "w"}}
	sim.core.SetConfiguration(sim.config)
	sim.core.estimator, sim.core.avoidInterference = interference.New(), mode == InterferenceAvoided
	sim.onStart = func(s *fakeServer, task string) {
		d := time.Duration(float64(time.Second) * (0.8 + 0.4*sim.rng.Float64()))
		if sim.steps[task].Image == victimImage {
			sim.victims++
			for other := range s.runs {
				if sim.steps[other].Image == disturberImage {
					d = time.Duration(float64(d) * plantedSlowdown)
					sim.disturbed++
					break
				}
			}
		}
		s.runs[task].endsAt = sim.now + d
	}
	return sim
}

// load submits jobs of both images for a while, so that about half of the fleet's processors are in use.
func (sim *interferenceSimulation) load(d time.Duration) {
	for n := 0; n < int(d/(100*time.Millisecond)); n++ {
		image := victimImage
		if n%2 == 0 {
			image = disturberImage
		}
		sim.submit(fmt.Sprintf("%08x%08x", sim.offset, n), jobs.Step{Count: 2, Need: jobs.Resources{CPU: 1000, MemoryMB: 100}, EstimateMS: 1000, Image: image})
		sim.run(100 * time.Millisecond)
	}
}

// Guards against tasks that are placed beside ones that slow them down although other servers have room.
func TestDisturbingTasksAreKeptApart(t *testing.T) {
	shares := map[InterferenceMode]float64{}
	for _, mode := range []InterferenceMode{InterferenceObserved, InterferenceAvoided} {
		sim := newInterferenceSimulation(1, mode)
		sim.load(90 * time.Second)
		pairs := sim.core.Interference()
		require.Len(t, pairs, 1)
		assert.Equal(t, [2]string{victimImage, disturberImage}, [2]string{pairs[0].Image, pairs[0].Beside})
		sim.victims, sim.disturbed = 0, 0
		sim.load(30 * time.Second)
		shares[mode] = float64(sim.disturbed) / float64(sim.victims)
		require.Empty(t, sim.violations)
	}
	assert.Greater(t, shares[InterferenceObserved], 0.4)
	assert.Less(t, shares[InterferenceAvoided], 0.1)
}

// withPairs returns an estimator in which two images slow each other down.
func withPairs(t testing.TB, images ...string) *interference.Estimator {
	e, rng := interference.New(), rand.New(rand.NewPCG(1, 2))
	for i := range 400 {
		s := interference.Sample{Image: images[0], Server: fmt.Sprint(i % 5), Value: 100 * (1 + 0.2*rng.Float64())}
		if i%2 == 0 {
			s.Value *= plantedSlowdown
			s.Beside = []interference.Neighbour{{Image: images[1], Tasks: 1}}
		}
		e.Observe(s)
	}
	require.Len(t, e.Pairs(), 1)
	return e
}

// Guards against a pair whose one direction counts twice, and against a pair of an image with itself that counts one way only.
func TestSlowdownCostsBothWays(t *testing.T) {
	for _, images := range [][]string{{victimImage, disturberImage}, {victimImage, victimImage}} {
		c, _ := randomPool(rand.New(rand.NewPCG(1, 1)))
		c.estimator, c.avoidInterference = withPairs(t, images...), true
		s := &server{images: map[string]int{images[1]: 3}}
		tsk := (&job{sub: &jobs.Submission{Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1, Image: images[0]}}}}, occurrences: map[int]*occurrence{}}).addOccurrence(0).steps[0].tasks[0]
		oneWay := 3 * costSlowdown * math.Log2(c.estimator.Pairs()[0].Factor)
		ways := 1.0
		if images[0] == images[1] {
			ways = 2
		}
		assert.InDelta(t, ways*oneWay, c.slowdownCost(tsk, s), 1e-9)
	}
}

// Guards against a task that doesn't start because all servers with room have a task beside which it would be slow, and against a search that misses the
// best server.
func TestInterferenceCostsNoStart(t *testing.T) {
	rng := rand.New(rand.NewPCG(43, 0))
	images := []string{victimImage, disturberImage, ""}
	apart := 0
	for range 200 {
		c, pool := randomPool(rng)
		c.estimator = withPairs(t, victimImage, disturberImage)
		for i := range 40 {
			sub := &jobs.Submission{ID: fmt.Sprintf("%016x", i), Service: "pool", Workspace: "w", Spec: jobs.Spec{Steps: []jobs.Step{{
				Count: 1, Need: jobs.Resources{CPU: 250 * rng.Int64N(8), MemoryMB: 250 * rng.Int64N(8)}, Image: images[rng.IntN(3)],
			}}}}
			j := &job{sub: sub, occurrences: map[int]*occurrence{}}
			tsk := j.addOccurrence(0).steps[0].tasks[0]
			c.avoidInterference = false
			ignored, found := c.chooseServer(tsk, pool)
			c.avoidInterference = true
			expected := c.chooseGangServer(tsk, pool.servers, nil)
			at, foundApart := c.chooseServer(tsk, pool)
			require.Equal(t, found, foundApart)
			if !found {
				continue
			}
			require.Equal(t, expected.info.ID, pool.servers[at].info.ID)
			if ignored != at {
				apart++
			}
			c.start(tsk, pool.servers[at], false)
			pool.taskStarted(at, tsk.step.spec.Allocation(), false)
		}
	}
	assert.Positive(t, apart)
}

// BenchmarkScheduleWithInterference measures a pass over jobs for which there is no capacity, whose images slow each other down.
func BenchmarkScheduleWithInterference(b *testing.B) {
	for _, mode := range []InterferenceMode{InterferenceIgnored, InterferenceAvoided} {
		b.Run(fmt.Sprintf("mode %d, 1500 jobs, 600 servers", mode), func(b *testing.B) {
			c, now := overloaded(1500, 600)
			c.estimator, c.avoidInterference = withPairs(b, victimImage, disturberImage), mode == InterferenceAvoided
			for _, j := range c.jobs {
				for i := range j.sub.Spec.Steps {
					j.sub.Spec.Steps[i].Image = victimImage
				}
			}
			for _, s := range c.servers {
				s.images = map[string]int{disturberImage: 2}
			}
			for b.Loop() {
				c.Advance(now, now.Milliseconds(), true)
				c.Schedule()
			}
		})
	}
}
