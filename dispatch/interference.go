package dispatch

import (
	"math"
	"time"

	"example.org/comfreyrouter/interference"
	"example.org/comfreyrouter/jobs"
)

const (
	// sampleInterval is the minimum time between two samples of a serving task, whose reported latency is an average over half a second.
	sampleInterval = 2 * time.Second
	// warmupTime is how long after its first report a server's tasks aren't sampled, because a server that has just started may be slow.
	warmupTime = 5 * time.Second
	// costSlowdown is the cost of each doubling of a run time or latency that a start would cause. It exceeds the range of the free share, so that tasks are
	// kept apart where there is room.
	costSlowdown = 2.0
)

// InterferenceMode says what a dispatcher does about tasks that slow each other down.
type InterferenceMode int

// The modes. Observing dispatchers estimate and report which images slow each other down; avoiding ones also keep them apart where there is room.
const (
	InterferenceIgnored InterferenceMode = iota
	InterferenceObserved
	InterferenceAvoided
)

// besideRun accumulates what ran beside a task that ends by itself.
type besideRun struct {
	reports int
	tasks   map[string]float64 // sum over the reports of the number of tasks, by image
	slowed  bool               // it was paced down, or a report was missed, so its run time shows nothing
}

// observeInterference samples the tasks of a server that has just reported. The previous report was received at a given time, 0 if there is none.
func (c *Core) observeInterference(s *server, previous time.Duration) {
	if c.estimator == nil {
		return
	}
	if previous == 0 {
		s.warmAt = c.now + warmupTime
	}
	reliable := previous > 0 && c.now-previous < maxReportAge && c.now >= s.warmAt
	beside := map[string]float64{}
	for _, r := range s.runs {
		if image := r.task.step.spec.Image; image != "" && r.state == runActive {
			beside[image] += paceShare(r)
		}
	}
	for _, r := range s.runs {
		spec := r.task.step.spec
		if spec.Image == "" || r.state != runActive {
			continue
		}
		if spec.LongRunning {
			if reliable && spec.TargetMS > 0 && r.latencyMS > 0 && r.percent >= servingPercent && c.now-r.sampledAt >= sampleInterval {
				r.sampledAt = c.now
				c.sample(r, r.latencyMS, others(beside, r, 1))
			}
			continue
		}
		if r.beside == nil {
			r.beside = &besideRun{tasks: map[string]float64{}}
		}
		b := r.beside
		b.reports++
		b.slowed = b.slowed || !reliable || r.pace != 100
		for image, tasks := range beside {
			b.tasks[image] += tasks
		}
		b.tasks[spec.Image] -= paceShare(r)
	}
}

func paceShare(r *run) float64 { return float64(max(r.pace, 0)) / 100 }

// others returns the mean number of tasks by image beside a run, given their sum over a number of reports.
func others(sum map[string]float64, r *run, reports int) []interference.Neighbour {
	list := make([]interference.Neighbour, 0, len(sum))
	for image, tasks := range sum {
		if image == r.task.step.spec.Image && r.beside == nil {
			tasks -= paceShare(r)
		}
		if tasks > 0 {
			list = append(list, interference.Neighbour{Image: image, Tasks: tasks / float64(reports)})
		}
	}
	return list
}

// sampleEnded adds the run time of a completed task to the estimates.
func (c *Core) sampleEnded(r *run) {
	if b := r.beside; c.estimator != nil && b != nil && !b.slowed && r.activeAt > 0 {
		c.sample(r, float64((c.now - r.activeAt).Milliseconds()), others(b.tasks, r, b.reports))
	}
}

func (c *Core) sample(r *run, value float64, beside []interference.Neighbour) {
	c.count("interference_sample")
	if c.estimator.Observe(interference.Sample{Image: r.task.step.spec.Image, Server: r.server.info.ID, Value: value, Beside: beside}) {
		c.interferenceChanged = true
	}
}

// countImage changes the number of a server's runs of the image of a task.
func (c *Core) countImage(s *server, spec *jobs.Step, change int) {
	if c.estimator == nil || spec.Image == "" {
		return
	}
	if s.images == nil {
		s.images = map[string]int{}
	}
	if s.images[spec.Image] += change; s.images[spec.Image] <= 0 {
		delete(s.images, spec.Image)
	}
}

// slowdownCost returns the cost of the slowdown that a start would cause, of the task and of those beside it.
func (c *Core) slowdownCost(t *task, s *server) float64 {
	image := t.step.spec.Image
	if !c.avoidInterference || image == "" || len(s.images) == 0 {
		return 0
	}
	cost := 0.0
	for _, p := range c.estimator.Involving(image) {
		n := s.images[p.Other(image)]
		if p.Image == p.Beside {
			n *= 2 // those there slow the task down, and it them
		}
		if n > 0 {
			cost += costSlowdown * float64(n) * math.Log2(p.Factor)
		}
	}
	return cost
}

// Interference returns the pairs of images that slow each other down, ordered by image.
func (c *Core) Interference() []interference.Pair {
	if c.estimator == nil {
		return []interference.Pair{}
	}
	return c.estimator.Pairs()
}

// TakeInterferenceChange returns the pairs in force if they have changed since the last call.
func (c *Core) TakeInterferenceChange() ([]interference.Pair, bool) {
	if !c.interferenceChanged {
		return nil, false
	}
	c.interferenceChanged = false
	return c.Interference(), true
}
