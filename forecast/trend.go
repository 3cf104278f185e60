package forecast

import (
	"math"

	"example.org/comfreyrouter/jobs"
)

const (
	// trendBins is the span over which a trend is fitted: two seconds, a fraction of a turn and several jobs even on small fleets.
	trendBins = 8
	// trendSure is by how many standard errors the demand must rise to count as rising.
	trendSure = 2.0
	// trendMost bounds what a trend adds, as a multiple of the present demand.
	trendMost = 1.0
)

// ExpectedRise returns by how much a service's need is expected to rise within a time ahead, at a Unix time in milliseconds. It is zero where demand
// falls or doesn't rise for certain.
func (h *History) ExpectedRise(service string, nowMS, aheadMS int64) jobs.Resources {
	end := nowMS/binMS - 1 // the last whole bin
	var work [trendBins]float64
	var sum jobs.Resources
	for i := range trendBins {
		w := h.bins[end-int64(trendBins-1-i)][service]
		work[i] = float64(w.CPU) / binMS
		sum = sum.Add(w)
	}
	slope, deviation := fit(work[:])
	if slope <= 0 || slope < trendSure*deviation || sum.CPU == 0 {
		return jobs.Resources{}
	}
	rise := slope * (float64(aheadMS)/binMS + trendBins/2)
	mean := float64(sum.CPU) / (trendBins * binMS)
	f := min(rise/mean, trendMost) / (trendBins * binMS)
	return jobs.Resources{CPU: int64(float64(sum.CPU) * f), MemoryMB: int64(float64(sum.MemoryMB) * f), GPU: int64(float64(sum.GPU) * f)}
}

// fit returns the slope of the line through equidistant points with the least squares, and its standard error.
func fit(y []float64) (slope, deviation float64) {
	n := float64(len(y))
	meanX, meanY := (n-1)/2, 0.0
	for _, v := range y {
		meanY += v / n
	}
	xx, xy := 0.0, 0.0
	for i, v := range y {
		xx += (float64(i) - meanX) * (float64(i) - meanX)
		xy += (float64(i) - meanX) * (v - meanY)
	}
	slope = xy / xx
	rest := 0.0
	for i, v := range y {
		d := v - meanY - slope*(float64(i)-meanX)
		rest += d * d
	}
	return slope, math.Sqrt(rest / (n - 2) / xx)
}
