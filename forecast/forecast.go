// Package forecast predicts what the services of a fleet are about to need, from recently submitted jobs. It addresses one load pattern: demand
// peaks that move from service to service, each lasting some seconds at several times the service's mean demand, with little demand in between. A
// machine takes about two seconds to become available, so machines that only follow the demand arrive late while it rises, and when a peak begins.
// Where demand is even, or the peaks come at irregular times, nothing is predicted. The package reads no clock and does no I/O.
package forecast

import (
	"cmp"
	"slices"

	"example.org/comfreyrouter/jobs"
)

const (
	// binMS is the width of a bin of arrived work, in milliseconds, and smoothingBins the number of bins over which work is averaged: peaks last
	// several seconds, and a second holds a few jobs even on small fleets.
	binMS         = 250
	smoothingBins = 4
	// historyBins is how many bins are kept: enough for the peaks to go round the services a few times.
	historyBins = 360
	// dominanceRatio is the ratio by which the work of one service must exceed that of every other one for the service to have a peak.
	dominanceRatio = 2.0
	// minPeakDivisor limits peaks to rates of at least 1/minPeakDivisor of the largest rate seen.
	minPeakDivisor = 6
	// confirmationBins is for how many consecutive bins a service must dominate before this counts as a peak.
	confirmationBins = 2
	// intervalTolerance is the relative difference from the median up to which the interval between two peaks counts as regular.
	intervalTolerance = 0.35
	// maxDelayMS is how long after its expected start a peak is still expected, in milliseconds.
	maxDelayMS = 800
	// openingBins is the span after the start of a peak whose largest need is predicted for the start of a later peak: about the time that a machine
	// takes to become available.
	openingBins = 8
	// maxUnseen is the largest number of services without a peak so far among which the next peak is expected; each gets an equal share of it.
	maxUnseen = 2
)

// bin is the work that arrived within binMS, by service, in thousandths of a core and megabytes, times milliseconds.
type bin map[string]jobs.Resources

// History holds the work that arrived recently.
type History struct {
	bins  map[int64]bin // by Unix time in units of binMS
	first int64         // oldest bin, at which the search for peaks begins; 0 if no job was added yet
	last  int64         // newest bin
}

// New returns an empty history.
func New() *History { return &History{bins: map[int64]bin{}} }

// TotalWork returns the work of a whole job, by the declared run times of its tasks.
func TotalWork(spec *jobs.Spec) jobs.Resources {
	var work jobs.Resources
	for _, s := range spec.Steps {
		tasks, r := int64(s.Count)*s.EstimateMS, s.Allocation()
		work = work.Add(jobs.Resources{CPU: r.CPU * tasks, MemoryMB: r.MemoryMB * tasks, GPU: r.GPU * tasks})
	}
	return work
}

// Add adds a job that was submitted at a Unix time in milliseconds, as stamped by the node that took it. Long-running and scheduled jobs are ignored,
// since they tell nothing about peaks, and so are jobs whose stamp is further from the present time than the history goes.
func (h *History) Add(service string, atMS, nowMS int64, spec *jobs.Spec) {
	if spec.LongRunning() || spec.Scheduled() {
		return
	}
	k, now := atMS/binMS, nowMS/binMS
	if k <= max(h.last, now)-historyBins || k > now+historyBins {
		return
	}
	if h.first == 0 || k < h.first {
		h.first = k
	}
	h.last = max(h.last, k)
	b := h.bins[k]
	if b == nil {
		b = bin{}
		h.bins[k] = b
	}
	b[service] = b[service].Add(TotalWork(spec))
	for ; h.first <= h.last-historyBins; h.first++ {
		delete(h.bins, h.first)
	}
}

// rates returns the mean need of each service over the last smoothingBins bins up to bin k.
func (h *History) rates(k int64) map[string]jobs.Resources {
	sum := map[string]jobs.Resources{}
	for i := k - smoothingBins + 1; i <= k; i++ {
		for service, work := range h.bins[i] {
			sum[service] = sum[service].Add(work)
		}
	}
	for service, work := range sum {
		sum[service] = jobs.Resources{CPU: work.CPU / (smoothingBins * binMS), MemoryMB: work.MemoryMB / (smoothingBins * binMS), GPU: work.GPU / (smoothingBins * binMS)}
	}
	return sum
}

// pastPeak is a period in which one service dominated the demand.
type pastPeak struct {
	service string
	start   int64            // bin
	opening []jobs.Resources // need in each of the first openingBins bins; later ones of a peak that has just begun aren't known
}

// dominantService returns the service that dominates the demand, or the empty string if none does.
func dominantService(rates map[string]jobs.Resources) string {
	best, most, second := "", int64(0), int64(0)
	for service, r := range rates {
		if r.CPU > most || r.CPU == most && service < best {
			best, most, second = service, r.CPU, max(second, most)
		} else {
			second = max(second, r.CPU)
		}
	}
	if best == "" || float64(most) < dominanceRatio*float64(second) {
		return ""
	}
	return best
}

// pastPeaks returns the peaks in the history. A service with little demand has no peak while the demand of all others is low: its rate must be a
// minimum share of the largest one seen.
func (h *History) pastPeaks() []pastPeak {
	var largest int64
	for k := h.first; k <= h.last; k++ {
		for _, r := range h.rates(k) {
			largest = max(largest, r.CPU)
		}
	}
	var peaks []pastPeak
	candidate, bins := "", 0
	for k := h.first; k <= h.last; k++ {
		rates := h.rates(k)
		service := dominantService(rates)
		if service == "" || rates[service].CPU*minPeakDivisor < largest {
			candidate, bins = "", 0
			continue
		}
		if service != candidate {
			candidate, bins = service, 0
		}
		bins++
		if bins == confirmationBins && (len(peaks) == 0 || peaks[len(peaks)-1].service != service) {
			peaks = append(peaks, pastPeak{service: service, start: k - confirmationBins + 1})
		}
	}
	for i := range peaks {
		peaks[i].opening = h.opening(peaks[i].service, peaks[i].start)
	}
	return peaks
}

// componentwiseMax returns the larger amount of each resource.
func componentwiseMax(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{CPU: max(a.CPU, b.CPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPU: max(a.GPU, b.GPU)}
}

// opening returns the need of a service in each of the first openingBins bins of a peak, as far as the history goes. It doesn't fall: machines that
// have come stay for the rest of the opening.
func (h *History) opening(service string, start int64) []jobs.Resources {
	var needs []jobs.Resources
	var largest jobs.Resources
	for k := start; k < start+openingBins && k <= h.last; k++ {
		largest = componentwiseMax(largest, h.rates(k)[service])
		needs = append(needs, largest)
	}
	return needs
}

// Peak is an expected peak of the demand for a service.
type Peak struct {
	Service string
	InMS    int64 // time until the peak begins; negative if it is late
	// Needs is the expected need in each BinMS from the start of the peak. It doesn't fall.
	Needs []jobs.Resources
}

// BinMS is the time, in milliseconds, that each of the needs of a peak stands for.
const BinMS = binMS

// NextPeaks returns the peak that is expected next, at a Unix time in milliseconds. It returns nothing if the peaks so far allow no prediction, and
// one peak for each of several services if none of these has had a peak yet.
func (h *History) NextPeaks(nowMS int64) []Peak {
	peaks := h.pastPeaks()
	interval, ok := peakInterval(peaks)
	if !ok {
		return nil
	}
	in := (peaks[len(peaks)-1].start+interval)*binMS - nowMS
	if in < -maxDelayMS {
		return nil
	}
	if p, ok := lastSuccessor(peaks); ok {
		return []Peak{{p.service, in, p.opening}}
	}
	unseen := h.servicesWithoutPeak(peaks)
	if len(unseen) == 0 {
		if p, ok := leastRecent(peaks); ok {
			return []Peak{{p.service, in, p.opening}}
		}
		return nil
	}
	if len(unseen) > maxUnseen {
		return nil
	}
	next := make([]Peak, 0, len(unseen))
	for _, service := range unseen {
		next = append(next, Peak{service, in, divide(medianOpening(peaks), int64(len(unseen)))})
	}
	return next
}

// divide returns the needs divided by n.
func divide(needs []jobs.Resources, n int64) []jobs.Resources {
	divided := make([]jobs.Resources, 0, len(needs))
	for _, r := range needs {
		divided = append(divided, jobs.Resources{CPU: r.CPU / n, MemoryMB: r.MemoryMB / n, GPU: r.GPU / n})
	}
	return divided
}

// medianOpening returns the opening of the peak that is the median by the CPU need at its end.
func medianOpening(peaks []pastPeak) []jobs.Resources {
	sorted := slices.SortedFunc(slices.Values(peaks), func(a, b pastPeak) int {
		return cmp.Compare(a.opening[len(a.opening)-1].CPU, b.opening[len(b.opening)-1].CPU)
	})
	return sorted[len(sorted)/2].opening
}

// servicesWithoutPeak returns the services that have had jobs but no peak.
func (h *History) servicesWithoutPeak(peaks []pastPeak) []string {
	var services []string
	for _, b := range h.bins {
		for service := range b {
			hadPeak := slices.ContainsFunc(peaks, func(p pastPeak) bool { return p.service == service })
			if !hadPeak && !slices.Contains(services, service) {
				services = append(services, service)
			}
		}
	}
	slices.Sort(services)
	return services
}

// lastSuccessor finds the service whose peak followed the previous peak of the present service, and returns the latest earlier peak of that service.
func lastSuccessor(peaks []pastPeak) (pastPeak, bool) {
	present := peaks[len(peaks)-1].service
	for i := len(peaks) - 2; i >= 0; i-- {
		if peaks[i].service == present {
			return latestPeak(peaks, peaks[i+1].service)
		}
	}
	return pastPeak{}, false
}

// leastRecent returns the oldest among the latest peaks of all services but the present one. It reports false if no other service has had a peak.
func leastRecent(peaks []pastPeak) (pastPeak, bool) {
	seen := map[string]bool{}
	var oldest pastPeak
	for i := len(peaks) - 1; i >= 0; i-- {
		if !seen[peaks[i].service] {
			seen[peaks[i].service], oldest = true, peaks[i]
		}
	}
	return oldest, len(seen) > 1
}

// latestPeak returns the latest peak of a service before the present peak.
func latestPeak(peaks []pastPeak, service string) (pastPeak, bool) {
	for i := len(peaks) - 2; i >= 0; i-- {
		if peaks[i].service == service {
			return peaks[i], true
		}
	}
	return pastPeak{}, false
}

// peakInterval returns the median interval between the starts of consecutive peaks, in bins. It reports whether at least half of the intervals are
// within intervalTolerance of it.
func peakInterval(peaks []pastPeak) (int64, bool) {
	var intervals []int64
	for i := 1; i < len(peaks); i++ {
		intervals = append(intervals, peaks[i].start-peaks[i-1].start)
	}
	if len(intervals) == 0 {
		return 0, false
	}
	slices.Sort(intervals)
	median := intervals[len(intervals)/2]
	regular := 0
	for _, interval := range intervals {
		if float64(max(interval-median, median-interval)) <= intervalTolerance*float64(median) {
			regular++
		}
	}
	return median, 2*regular >= len(intervals)
}

// Age returns the time since the first job was submitted, in milliseconds, as far back as the history goes.
func (h *History) Age(nowMS int64) int64 { return nowMS - h.first*binMS }

// Empty reports whether the history has no jobs.
func (h *History) Empty() bool { return len(h.bins) == 0 }
