package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// workload draws samples of tasks on servers. Values are the product of a base by image, the speed of the server, the factors of the images beside, and noise.
type workload struct {
	rng     *rand.Rand
	images  []string
	factors map[[2]string]float64 // by image and the image beside
	speeds  map[string]float64    // of slow servers
	noise   float64               // standard deviation of the logarithm
	servers int
}

func newWorkload(seed uint64, images int) *workload {
	w := &workload{rng: rand.New(rand.NewPCG(seed, 1)), factors: map[[2]string]float64{}, speeds: map[string]float64{}, noise: 0.4, servers: 40}
	for i := range images {
		w.images = append(w.images, fmt.Sprintf("image-%d", i))
	}
	return w
}

func (w *workload) image() string { return w.images[w.rng.IntN(len(w.images))] }

func (w *workload) sample() Sample {
	s := Sample{Image: w.image(), Server: fmt.Sprintf("s%d", w.rng.IntN(w.servers))}
	y := w.noise * w.rng.NormFloat64()
	for i := range w.images {
		if w.images[i] == s.Image {
			y += float64(i)
		}
	}
	if speed, slow := w.speeds[s.Server]; slow {
		y += math.Log(speed)
	}
	for range w.rng.IntN(4) {
		b := Neighbour{w.image(), 1}
		s.Beside = append(s.Beside, b)
		if f, planted := w.factors[[2]string{s.Image, b.Image}]; planted {
			y += math.Log(f)
		}
	}
	s.Value = 100 * math.Exp(y)
	return s
}

func (w *workload) run(e *Estimator, n int) {
	for range n {
		e.Observe(w.sample())
	}
}

// The number of samples, over all images, within which planted pairs are found.
const samplesToFind = 4000

// Guards against pairs that are missed, and against factors that are far off, among images that don't disturb each other and beside slow servers.
func TestPlantedPairsAreFound(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorkload(seed, 8)
		w.factors = map[[2]string]float64{{"image-0", "image-3"}: 1.6, {"image-5", "image-5"}: 1.8}
		for i := range 4 {
			w.speeds[fmt.Sprintf("s%d", i)] = 3
		}
		e := New()
		w.run(e, samplesToFind)
		pairs := e.Pairs()
		require.Len(t, pairs, 2, "seed %d", seed)
		assert.Equal(t, [2]string{"image-0", "image-3"}, [2]string{pairs[0].Image, pairs[0].Beside})
		assert.InDelta(t, 1.6, pairs[0].Factor, 0.35, "seed %d", seed)
		assert.Equal(t, [2]string{"image-5", "image-5"}, [2]string{pairs[1].Image, pairs[1].Beside})
		involving := e.Involving("image-3")
		require.Len(t, involving, 1)
		assert.Equal(t, "image-0", involving[0].Other("image-3"))
		assert.Empty(t, e.Involving("image-1"))
	}
}

// Guards against pairs that noise, slow servers or stalled tasks bring about.
func TestNoPairWithoutInterference(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorkload(seed, 8)
		for i := range 8 {
			w.speeds[fmt.Sprintf("s%d", i)] = 4
		}
		e := New()
		for range samplesToFind {
			s := w.sample()
			if w.rng.IntN(50) == 0 {
				s.Value *= 20
			}
			e.Observe(s)
			require.Empty(t, e.Pairs(), "seed %d", seed)
		}
	}
}

// Guards against an image that is blamed for what a slow server does on which it happens to run.
func TestSlowServerIsNoNeighbour(t *testing.T) {
	e, w := New(), newWorkload(1, 1)
	for range samplesToFind {
		s := w.sample()
		s.Beside = nil
		if s.Server == "s0" {
			s.Beside, s.Value = []Neighbour{{"batch", 1}}, 5*s.Value
		}
		e.Observe(s)
	}
	assert.Empty(t, e.Pairs())
}

// Guards against a pair that stays in force although the work has changed.
func TestPairsAreForgotten(t *testing.T) {
	for seed := range uint64(10) {
		e, w := New(), newWorkload(seed, 4)
		w.factors[[2]string{"image-0", "image-1"}] = 2
		w.run(e, samplesToFind)
		require.Len(t, e.Pairs(), 1)
		clear(w.factors)
		w.run(e, 4*4*memory)
		assert.Empty(t, e.Pairs(), "seed %d", seed)
	}
}

// Guards against memory that grows with the number of images that callers name.
func TestImagesAreBounded(t *testing.T) {
	e := New()
	for i := range 10 * maxImages {
		e.Observe(Sample{Image: fmt.Sprint(i), Server: fmt.Sprint(i), Value: 1, Beside: []Neighbour{{fmt.Sprint(i % 100), 1}}})
		e.Observe(Sample{Image: "same", Server: "s", Value: 1, Beside: []Neighbour{{fmt.Sprint(i), 1}}})
	}
	assert.LessOrEqual(t, len(e.models), maxImages)
	assert.Len(t, e.models["same"].neighbours, maxNeighbours)
	assert.False(t, math.IsNaN(e.models["same"].beta[0]))
}

func BenchmarkObserve(b *testing.B) {
	e, w := New(), newWorkload(1, maxNeighbours)
	for b.Loop() {
		e.Observe(w.sample())
	}
}

// Guards against placement by a pair whose image has made room for others, and against a change that isn't reported.
func TestPairsThatMakeRoomAreOutOfForce(t *testing.T) {
	for _, evictModel := range []bool{false, true} {
		e, w := New(), newWorkload(1, 4)
		w.factors[[2]string{"image-0", "image-1"}] = 2
		w.run(e, samplesToFind)
		require.Len(t, e.Pairs(), 1)
		reported := false
		for i := range max(maxImages, maxNeighbours) {
			s := Sample{Image: "image-0", Server: "s0", Value: 100, Beside: []Neighbour{{fmt.Sprintf("new-%d", i), 1}}}
			if evictModel {
				s = Sample{Image: fmt.Sprintf("new-%d", i), Server: "s0", Value: 100}
			}
			reported = e.Observe(s) || reported
		}
		assert.Empty(t, e.Pairs())
		assert.Empty(t, e.Involving("image-1"))
		assert.True(t, reported)
	}
}

// Guards against servers that have no effect because servers that left long ago fill the room.
func TestServersThatHaveLeftMakeRoom(t *testing.T) {
	e := New()
	for i := range 2 * maxServers {
		e.Observe(Sample{Image: "a", Server: fmt.Sprint(i), Value: 100 + float64(i%2)})
	}
	for range 200 {
		e.Observe(Sample{Image: "a", Server: "new", Value: 300})
	}
	assert.Len(t, e.servers, maxServers)
	require.NotNil(t, e.servers["new"])
	assert.Greater(t, e.servers["new"].value, 0.3)
}
