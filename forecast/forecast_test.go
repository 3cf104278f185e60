package forecast

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/internal/testenv"
	"example.org/comfreyrouter/jobs"
)

func TestMain(m *testing.M) { testenv.Main(m) }

const startMS = 1_800_000_000_000 // of the replay, Unix time

// quote is a job of 8 tasks of a second on 4 cores.
func quote() *jobs.Spec {
	return &jobs.Spec{Steps: []jobs.Step{{Count: 8, Need: jobs.Resources{CPU: 4000, MemoryMB: 100}, EstimateMS: 1000}}}
}

// replay hands in the jobs of services whose demand turns, and calls look every 200 ms.
func replay(seed uint64, services int, turnMS, endMS int64, perSecond float64, look func(h *History, atMS int64)) {
	rng := rand.New(rand.NewPCG(seed, 7))
	h := New()
	for at := int64(0); at < endMS; at += 10 {
		for i := range services {
			rate := perSecond * 0.05
			if int(at/turnMS)%services == i {
				// Demand rises and falls within a turn.
				rate += perSecond * 6 * math.Sin(math.Pi*float64(at%turnMS)/float64(turnMS))
			}
			if rng.Float64() < rate/100 {
				h.Add(fmt.Sprintf("s%d", i), startMS+at, quote())
			}
		}
		if at%200 == 0 {
			look(h, at)
		}
	}
}

// expects reports whether a service is expected within a time.
func expects(next []Peak, service string, withinMS int64) bool {
	for _, n := range next {
		if n.Service == service && n.InMS <= withinMS {
			return true
		}
	}
	return false
}

// TestTurnsAreExpected replays turns of four services, as of a large and of a small fleet, and guards against machines that come to the wrong
// service. From the third turn of the first round on the next one is among those that had none.
func TestTurnsAreExpected(t *testing.T) {
	// A turn stands out a second after its begin, since demand rises from nothing; a machine needs 2.4 s to come.
	const turnMS, rises, ahead = 10000, 1000, 2400
	for _, perSecond := range []float64{18, 0.9} {
		looks, right, wrong := 0, 0, 0
		replay(3, 4, turnMS, 80000, perSecond, func(h *History, at int64) {
			if at < 2*turnMS || (at+ahead-rises)/turnMS == at/turnMS {
				return
			}
			looks++
			next := h.NextPeaks(startMS + at)
			turn := fmt.Sprintf("s%d", (at+ahead)/turnMS%4)
			if expects(next, turn, ahead) {
				right++
			} else if len(next) > 0 && next[0].InMS <= ahead {
				wrong++
			}
		})
		t.Logf("%v jobs a second: of %d looks in the last 1.4 s before a turn %d expect the right service, %d only another one", perSecond, looks, right, wrong)
		assert.Greater(t, right, 5*wrong)
		assert.Greater(t, 2*right, looks)
	}
}

// TestTheNeedOfATurnIsKnown guards against a forecast that is too small to matter or larger than what comes in the first seconds.
func TestTheNeedOfATurnIsKnown(t *testing.T) {
	replay(4, 4, 10000, 60000, 18, func(h *History, at int64) {
		if at != 49000 {
			return
		}
		next := h.NextPeaks(startMS + at)
		require.Len(t, next, 1)
		largest := int64(18 * 6 * 8 * 4000)
		assert.InDelta(t, largest*6/10, next[0].Need.CPU, float64(largest)/4)
	})
}

// TestRisingDemandIsSeen guards against machines that come for what is asked now while twice as much will be asked when they are there, and
// against a trend where there is none.
func TestRisingDemandIsSeen(t *testing.T) {
	replay(8, 4, 10000, 12000, 18, func(h *History, at int64) {
		now := float64(18*6*8*4000) * math.Sin(math.Pi*float64(at)/10000)
		switch at {
		case 2400:
			rise := float64(h.ExpectedRise("s0", startMS+at, 2300).CPU)
			assert.Greater(t, rise, now/4)
			assert.LessOrEqual(t, rise, now)
		case 5400, 8000:
			assert.Less(t, float64(h.ExpectedRise("s0", startMS+at, 2300).CPU), now/4)
		}
		assert.Zero(t, h.ExpectedRise("none", startMS+at, 2300))
	})
}

// TestNoTurnsNoForecast guards against machines that are moved for a pattern that isn't there: even demand, one service alone, and bursts at
// irregular times.
func TestNoTurnsNoForecast(t *testing.T) {
	even := New()
	rng := rand.New(rand.NewPCG(5, 7))
	for at := int64(0); at < 60000; at += 10 {
		for i := range 4 {
			if rng.Float64() < 0.18 {
				even.Add(fmt.Sprintf("s%d", i), startMS+at, quote())
			}
		}
	}
	assert.Empty(t, even.NextPeaks(startMS+60000))
	replay(6, 1, 4000, 30000, 18, func(h *History, at int64) {
		assert.Empty(t, h.NextPeaks(startMS+at))
	})
	assert.Empty(t, New().NextPeaks(startMS))
}

// TestATurnThatDoesNotComeIsGivenUp guards against machines that wait for a turn without end when the demand has ended.
func TestATurnThatDoesNotComeIsGivenUp(t *testing.T) {
	replay(7, 4, 4000, 32000, 18, func(h *History, at int64) {
		if at == 31800 {
			assert.Empty(t, h.NextPeaks(startMS+40000))
		}
	})
}

// TestAClockThatIsFarOffIsLeftOut guards against a history that is emptied by one job whose time of day is wrong.
func TestAClockThatIsFarOffIsLeftOut(t *testing.T) {
	h := New()
	h.Add("a", startMS, quote())
	h.Add("a", startMS+1000*keptBins*binMS, quote())
	h.Add("a", 0, quote())
	assert.Len(t, h.bins, 1)
}
