package forecast

import (
	"math"

	"example.org/comfreyrouter/jobs"
)

const (
	// trendBins is the span over which a trend is fitted: two seconds, a fraction of a peak, with several jobs even on small fleets.
	trendBins = 8
	// minTrendErrors is the number of standard errors by which the slope must exceed zero for demand to count as rising.
	minTrendErrors = 2.0
	// maxRise bounds the expected rise, as a multiple of the present demand.
	maxRise = 1.0
)

// ExpectedRise returns by how much a service's need is expected to rise within aheadMS after nowMS, a Unix time in milliseconds. It is zero if demand
// falls or its rise isn't significant.
func (h *History) ExpectedRise(service string, nowMS, aheadMS int64) jobs.Resources {
	end := nowMS/binMS - 1 // the last whole bin
	var work [trendBins]float64
	var sum jobs.Resources
	for i := range trendBins {
		w := h.bins[end-int64(trendBins-1-i)][service]
		work[i] = float64(w.CPU) / binMS
		sum = sum.Add(w)
	}
	slope, standardError := fit(work[:])
	if slope <= 0 || slope < minTrendErrors*standardError || sum.CPU == 0 {
		return jobs.Resources{}
	}
	rise := slope * (float64(aheadMS)/binMS + trendBins/2)
	mean := float64(sum.CPU) / (trendBins * binMS)
	factor := min(rise/mean, maxRise) / (trendBins * binMS)
	return jobs.Resources{CPU: int64(float64(sum.CPU) * factor), MemoryMB: int64(float64(sum.MemoryMB) * factor), GPU: int64(float64(sum.GPU) * factor)}
}

// fit returns the slope of the least-squares line through equidistant points, and its standard error.
func fit(y []float64) (slope, standardError float64) {
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
	squaredResiduals := 0.0
	for i, v := range y {
		residual := v - meanY - slope*(float64(i)-meanX)
		squaredResiduals += residual * residual
	}
	return slope, math.Sqrt(squaredResiduals / (n - 2) / xx)
}
