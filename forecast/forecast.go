// Package forecast says what the services of a fleet are about to need, from the jobs that were handed in lately. It answers one load pattern:
// demand that turns from service to service, each in its time asking several times its mean for some seconds and little in between. A machine
// needs about two seconds to come, so that machines which only follow the demand come late while it rises, and when a turn begins. Where demand
// is even, or the turns come at no regular times, it expects nothing. It has no clock and does no I/O.
package forecast

import (
	"cmp"
	"slices"

	"example.org/comfreyrouter/jobs"
)

const (
	// binMS is the width of a bin of arrived work, in milliseconds, and smooth the number of bins over which work is averaged: turns last
	// several seconds, and a second holds a few jobs even on small fleets.
	binMS  = 250
	smooth = 4
	// keptBins is how many bins are kept: some rounds of turns.
	keptBins = 360
	// standsOut is by how much the work of one service must exceed that of each other one for the service to have the turn.
	standsOut = 2.0
	// lullShare is the part of the largest rate seen below which no service has the turn.
	lullShare = 6
	// firmBins is for how many bins in a row a service must stand out before its turn counts.
	firmBins = 2
	// regular is by which share the length of turns may differ from their median to count as regular.
	regular = 0.35
	// lateMS is how long after its time a turn is still expected, in milliseconds.
	lateMS = 800
	// openingBins is the time after the start of a turn whose demand is expected at its start: about the time that a machine needs to come.
	openingBins = 8
	// unseenMost is the most services without a turn so far among which the next turn is expected; each gets an equal share of it.
	unseenMost = 2
)

// bin is the work that arrived in one span, by service, in thousandths of a core and megabytes times milliseconds.
type bin map[string]jobs.Resources

// History is the work that arrived lately.
type History struct {
	bins  map[int64]bin
	first int64
	last  int64
}

// New returns an empty history.
func New() *History { return &History{bins: map[int64]bin{}} }

// TotalWork returns what a job needs over its whole run, by its declared times.
func TotalWork(spec *jobs.Spec) jobs.Resources {
	var work jobs.Resources
	for _, s := range spec.Steps {
		tasks, r := int64(s.Count)*s.EstimateMS, s.Allocation()
		work = work.Add(jobs.Resources{CPU: r.CPU * tasks, MemoryMB: r.MemoryMB * tasks, GPU: r.GPU * tasks})
	}
	return work
}

// Add takes a job that was handed in at a Unix time in milliseconds. Long-running and timed jobs say nothing on turns.
func (h *History) Add(service string, atMS int64, spec *jobs.Spec) {
	if spec.LongRunning() || spec.Scheduled() {
		return
	}
	k := atMS / binMS
	switch {
	case h.first == 0:
		h.first, h.last = k, k
	case k <= h.last-keptBins || k > h.last+keptBins:
		return // a clock that is far off
	}
	h.last = max(h.last, k)
	b := h.bins[k]
	if b == nil {
		b = bin{}
		h.bins[k] = b
	}
	b[service] = b[service].Add(TotalWork(spec))
	for ; h.first <= h.last-keptBins; h.first++ {
		delete(h.bins, h.first)
	}
}

// rates returns what the services needed on average over the bins up to one.
func (h *History) rates(k int64) map[string]jobs.Resources {
	sum := map[string]jobs.Resources{}
	for i := k - smooth + 1; i <= k; i++ {
		for service, work := range h.bins[i] {
			sum[service] = sum[service].Add(work)
		}
	}
	for service, work := range sum {
		sum[service] = jobs.Resources{CPU: work.CPU / (smooth * binMS), MemoryMB: work.MemoryMB / (smooth * binMS), GPU: work.GPU / (smooth * binMS)}
	}
	return sum
}

// turn is a span in which one service stood out.
type turn struct {
	service string
	start   int64          // bin
	opening jobs.Resources // openingBins after the start
}

// leader returns the service that stands out, or nothing.
func leader(rates map[string]jobs.Resources) string {
	best, most, second := "", int64(0), int64(0)
	for service, r := range rates {
		if r.CPU > most || r.CPU == most && service < best {
			best, most, second = service, r.CPU, max(second, most)
		} else {
			second = max(second, r.CPU)
		}
	}
	if best == "" || float64(most) < standsOut*float64(second) {
		return ""
	}
	return best
}

// turns returns the turns of the kept bins. A service of which little arrives doesn't get a turn in a lull of the others: the rate must be a
// share of the largest one seen.
func (h *History) turns() []turn {
	var largest int64
	for k := h.first; k <= h.last; k++ {
		for _, r := range h.rates(k) {
			largest = max(largest, r.CPU)
		}
	}
	var all []turn
	candidate, run := "", 0
	for k := h.first; k <= h.last; k++ {
		rates := h.rates(k)
		service := leader(rates)
		if service == "" || rates[service].CPU*lullShare < largest {
			candidate, run = "", 0
			continue
		}
		if service != candidate {
			candidate, run = service, 0
		}
		run++
		if run == firmBins && (len(all) == 0 || all[len(all)-1].service != service) {
			all = append(all, turn{service: service, start: k - firmBins + 1})
		}
		if n := len(all); n > 0 && all[n-1].service == service && k <= all[n-1].start+openingBins {
			all[n-1].opening = larger(all[n-1].opening, rates[service])
		}
	}
	return all
}

func larger(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{CPU: max(a.CPU, b.CPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPU: max(a.GPU, b.GPU)}
}

// Peak is a service whose turn is expected next.
type Peak struct {
	Service string
	InMS    int64 // until then; below 0 if it is late
	Need    jobs.Resources
}

// NextPeaks returns whose turn is next, at a Unix time in milliseconds: nothing if the turns so far don't tell, and more than one service if none of
// these has had a turn yet.
func (h *History) NextPeaks(nowMS int64) []Peak {
	all := h.turns()
	length, ok := turnLength(all)
	if !ok {
		return nil
	}
	in := (all[len(all)-1].start+length)*binMS - nowMS
	if in < -lateMS {
		return nil
	}
	if t, ok := followed(all); ok {
		return []Peak{{t.service, in, t.opening}}
	}
	unseen := h.unseen(all)
	if len(unseen) == 0 {
		if t, ok := longestAgo(all); ok {
			return []Peak{{t.service, in, t.opening}}
		}
		return nil
	}
	if len(unseen) > unseenMost {
		return nil
	}
	next := make([]Peak, 0, len(unseen))
	for _, service := range unseen {
		next = append(next, Peak{service, in, part(middle(all), int64(len(unseen)))})
	}
	return next
}

func part(r jobs.Resources, n int64) jobs.Resources {
	return jobs.Resources{CPU: r.CPU / n, MemoryMB: r.MemoryMB / n, GPU: r.GPU / n}
}

// middle returns the opening of the turn that is the median by size.
func middle(all []turn) jobs.Resources {
	sorted := slices.SortedFunc(slices.Values(all), func(a, b turn) int { return cmp.Compare(a.opening.CPU, b.opening.CPU) })
	return sorted[len(sorted)/2].opening
}

// unseen returns the services of which jobs have come, but that had no turn.
func (h *History) unseen(all []turn) []string {
	var services []string
	for _, b := range h.bins {
		for service := range b {
			had := slices.ContainsFunc(all, func(t turn) bool { return t.service == service })
			if !had && !slices.Contains(services, service) {
				services = append(services, service)
			}
		}
	}
	slices.Sort(services)
	return services
}

// followed returns the last turn of the service whose turn came after that of the present one last time.
func followed(all []turn) (turn, bool) {
	present := all[len(all)-1].service
	for i := len(all) - 2; i >= 0; i-- {
		if all[i].service == present {
			return last(all, all[i+1].service)
		}
	}
	return turn{}, false
}

// longestAgo returns the turn that is longest ago among the last ones of all services but the present one.
func longestAgo(all []turn) (turn, bool) {
	seen := map[string]bool{}
	var oldest turn
	for i := len(all) - 1; i >= 0; i-- {
		if !seen[all[i].service] {
			seen[all[i].service], oldest = true, all[i]
		}
	}
	return oldest, len(seen) > 1
}

func last(all []turn, service string) (turn, bool) {
	for i := len(all) - 2; i >= 0; i-- {
		if all[i].service == service {
			return all[i], true
		}
	}
	return turn{}, false
}

// turnLength returns the median of the times between the starts of turns, in bins, if half of them are near it.
func turnLength(all []turn) (int64, bool) {
	var lengths []int64
	for i := 1; i < len(all); i++ {
		lengths = append(lengths, all[i].start-all[i-1].start)
	}
	if len(lengths) == 0 {
		return 0, false
	}
	slices.Sort(lengths)
	median := lengths[len(lengths)/2]
	near := 0
	for _, l := range lengths {
		if float64(max(l-median, median-l)) <= regular*float64(median) {
			near++
		}
	}
	return median, 2*near >= len(lengths)
}

// Age returns how long ago the first job came, in milliseconds, as far back as the history goes.
func (h *History) Age(nowMS int64) int64 { return nowMS - h.first*binMS }

// Empty reports whether no job has come yet.
func (h *History) Empty() bool { return len(h.bins) == 0 }
