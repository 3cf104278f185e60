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

const startMS = 1_800_000_000_000 // Unix time at which the simulated demand begins

// quote returns a job with 8 tasks that each take 4 cores for a second.
func quote() *jobs.Spec {
	return &jobs.Spec{Steps: []jobs.Step{{Count: 8, Need: jobs.Resources{CPU: 4000, MemoryMB: 100}, EstimateMS: 1000}}}
}

// simulate submits jobs for services whose demand peaks one after another, and calls observe every 200 ms.
func simulate(seed uint64, services int, peakMS, endMS int64, perSecond float64, observe func(h *History, atMS int64)) {
	rng := rand.New(rand.NewPCG(seed, 7))
	h := New()
	for at := int64(0); at < endMS; at += 10 {
		for i := range services {
			rate := perSecond * 0.05
			if int(at/peakMS)%services == i {
				// Demand rises and falls within a peak.
				rate += perSecond * 6 * math.Sin(math.Pi*float64(at%peakMS)/float64(peakMS))
			}
			if rng.Float64() < rate/100 {
				h.Add(fmt.Sprintf("s%d", i), startMS+at, startMS+at, quote())
			}
		}
		if at%200 == 0 {
			observe(h, at)
		}
	}
}

// expects reports whether a peak of a service is expected within a time.
func expects(next []Peak, service string, withinMS int64) bool {
	for _, p := range next {
		if p.Service == service && p.InMS <= withinMS {
			return true
		}
	}
	return false
}

// TestPeaksAreForecast simulates alternating peaks of four services on a large and on a small fleet, and guards against moving machines to the wrong
// service. From the third peak of the first round on, the next one is among the services without a peak so far.
func TestPeaksAreForecast(t *testing.T) {
	// A peak becomes visible a second after its start, since demand rises from nothing; a machine takes 2.4 s to become available.
	const peakMS, riseMS, aheadMS = 10000, 1000, 2400
	for _, perSecond := range []float64{18, 0.9} {
		forecasts, right, wrong := 0, 0, 0
		simulate(3, 4, peakMS, 80000, perSecond, func(h *History, at int64) {
			if at < 2*peakMS || (at+aheadMS-riseMS)/peakMS == at/peakMS {
				return
			}
			forecasts++
			next := h.NextPeaks(startMS + at)
			service := fmt.Sprintf("s%d", (at+aheadMS)/peakMS%4)
			if expects(next, service, aheadMS) {
				right++
			} else if len(next) > 0 && next[0].InMS <= aheadMS {
				wrong++
			}
		})
		t.Logf("%v jobs a second: of %d forecasts in the last 1.4 s before a peak, %d name the right service, %d only another one", perSecond, forecasts, right, wrong)
		assert.Greater(t, right, 5*wrong)
		assert.Greater(t, 2*right, forecasts)
	}
}

// TestPeakNeedIsForecast guards against a forecast that is too small to matter, or larger than the demand in the first seconds of the peak.
func TestPeakNeedIsForecast(t *testing.T) {
	simulate(4, 4, 10000, 60000, 18, func(h *History, at int64) {
		if at != 49000 {
			return
		}
		next := h.NextPeaks(startMS + at)
		require.Len(t, next, 1)
		largest := int64(18 * 6 * 8 * 4000)
		assert.InDelta(t, largest*6/10, next[0].Needs[len(next[0].Needs)-1].CPU, float64(largest)/4)
	})
}

// TestRisingDemandIsDetected guards against providing machines for the present demand when twice as much will be needed by the time they are
// available, and against a trend where there is none.
func TestRisingDemandIsDetected(t *testing.T) {
	simulate(8, 4, 10000, 12000, 18, func(h *History, at int64) {
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

// TestOpeningOfAPeakIsForecastByDegrees guards against a forecast that asks for all machines of the first seconds of a peak at its start.
func TestOpeningOfAPeakIsForecastByDegrees(t *testing.T) {
	simulate(4, 4, 10000, 60000, 18, func(h *History, at int64) {
		if at != 49000 {
			return
		}
		next := h.NextPeaks(startMS + at)
		require.Len(t, next, 1)
		needs := next[0].Needs
		require.Len(t, needs, openingBins)
		assert.Less(t, needs[0].CPU, needs[openingBins-1].CPU/2)
		assert.IsNonDecreasing(t, []int64{needs[0].CPU, needs[2].CPU, needs[4].CPU, needs[6].CPU})
	})
}

// TestNoForecastWithoutPeaks guards against moving machines for a pattern that isn't there: with even demand, with a single service, and with no
// jobs at all.
func TestNoForecastWithoutPeaks(t *testing.T) {
	even := New()
	rng := rand.New(rand.NewPCG(5, 7))
	for at := int64(0); at < 60000; at += 10 {
		for i := range 4 {
			if rng.Float64() < 0.18 {
				even.Add(fmt.Sprintf("s%d", i), startMS+at, startMS+at, quote())
			}
		}
	}
	assert.Empty(t, even.NextPeaks(startMS+60000))
	simulate(6, 1, 4000, 30000, 18, func(h *History, at int64) {
		assert.Empty(t, h.NextPeaks(startMS+at))
	})
	assert.Empty(t, New().NextPeaks(startMS))
}

// TestOverduePeakIsDropped guards against machines that wait forever for a peak after the demand has ended.
func TestOverduePeakIsDropped(t *testing.T) {
	simulate(7, 4, 4000, 32000, 18, func(h *History, at int64) {
		if at == 31800 {
			assert.Empty(t, h.NextPeaks(startMS+40000))
		}
	})
}

// TestJobWithWrongTimeIsIgnored guards against a history that is emptied by one job whose submission time is far off.
func TestJobWithWrongTimeIsIgnored(t *testing.T) {
	h := New()
	h.Add("a", startMS, startMS, quote())
	h.Add("a", startMS+1000*historyBins*binMS, startMS, quote())
	h.Add("a", 0, startMS, quote())
	assert.Len(t, h.bins, 1)
}

// TestHistoryResumesAfterALull guards against a history that takes no more jobs once none was submitted for longer than it goes back.
func TestHistoryResumesAfterALull(t *testing.T) {
	h := New()
	h.Add("a", startMS, startMS, quote())
	const later = startMS + 2*historyBins*binMS
	for at := int64(0); at < 2000; at += 50 {
		for range at / 100 {
			h.Add("a", later+at, later+at, quote())
		}
	}
	assert.Positive(t, h.ExpectedRise("a", later+2000, 2300).CPU)
}
