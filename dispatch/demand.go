package dispatch

import (
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// arrivalWindow is the period over which arriving work is averaged: long enough for a few jobs, and short compared with demand peaks, which last
	// some seconds.
	arrivalWindow = 700 * time.Millisecond
	// pendingStepShare is the share of the tasks of pending steps that counts as needed now. They start when the steps before have ended.
	pendingStepShare = 0.4
)

// Demand holds the resources that the tasks of a service need.
type Demand struct {
	// Need is what the running, waiting and expected tasks of jobs that can be on time need.
	Need jobs.Resources
	// LongRunning is what long-running tasks need, both running and waiting ones.
	LongRunning jobs.Resources
	// MinServers is the largest number of servers over which the tasks of one long-running step have to be spread.
	MinServers int
}

// arrivals is a moving average of the work that arrives at a service.
type arrivals struct {
	rate jobs.Resources // resources that are constantly in use if work keeps arriving as it does now
	at   time.Duration
}

// addArrival adds the work of a new job to the average of its service.
func (c *Core) addArrival(j *job) {
	if j.sub.Spec.LongRunning() || j.sub.Spec.Scheduled() {
		return
	}
	service := c.serviceOf(j)
	a := c.arrivals[service]
	if a == nil {
		a = &arrivals{at: c.now}
		c.arrivals[service] = a
	}
	a.decay(c.now)
	for _, s := range j.sub.Spec.Steps {
		// The run time of all tasks, spread over the averaging window.
		share := c.taskMS(j, s.EstimateMS) * float64(s.Count) / float64(arrivalWindow.Milliseconds())
		a.rate = a.rate.Add(scale(s.Allocation(), share))
	}
}

// decay reduces the average by the time that has passed.
func (a *arrivals) decay(now time.Duration) {
	remaining := max(0, 1-float64(now-a.at)/float64(arrivalWindow))
	a.rate, a.at = scale(a.rate, remaining), now
}

func scale(r jobs.Resources, f float64) jobs.Resources {
	return jobs.Resources{CPU: int64(float64(r.CPU) * f), MemoryMB: int64(float64(r.MemoryMB) * f), GPU: int64(float64(r.GPU) * f)}
}

// Demands returns the demand of each service.
func (c *Core) Demands() map[string]Demand {
	demands := map[string]Demand{}
	for _, j := range c.jobs {
		if j.cancelled || j.failed || c.candidate(j).Class.Late() {
			continue // machines are provided only for jobs that can be on time
		}
		service := c.serviceOf(j)
		d := demands[service]
		for _, o := range j.occurrences {
			d.add(o)
		}
		demands[service] = d
	}
	for service, a := range c.arrivals {
		a.decay(c.now)
		d := demands[service]
		if a.rate.CPU > d.Need.CPU {
			d.Need.CPU = a.rate.CPU
		}
		if a.rate.MemoryMB > d.Need.MemoryMB {
			d.Need.MemoryMB = a.rate.MemoryMB
		}
		demands[service] = d
	}
	return demands
}

// add adds the needs of an occurrence's tasks.
func (d *Demand) add(o *occurrence) {
	for _, s := range o.steps {
		running, waiting := 0, 0
		for _, t := range s.tasks {
			switch {
			case t.run != nil:
				running++
			case !t.done:
				waiting++
			}
		}
		need := float64(running)
		if s.ready() {
			need += float64(waiting)
		} else {
			need += pendingStepShare * float64(waiting)
		}
		d.Need = d.Need.Add(scale(s.spec.Allocation(), need))
		if s.spec.LongRunning {
			d.LongRunning = d.LongRunning.Add(scale(s.spec.Allocation(), float64(running+waiting)))
		}
		if s.spec.LongRunning && (s.spec.MaxPerServer > 0 || s.spec.MissBudget > 0) {
			perServer := max(s.spec.MaxPerServer, 1)
			d.MinServers = max(d.MinServers, (len(s.tasks)+perServer-1)/perServer)
		}
	}
}

// unreachableAfter is the silence after which an unresponsive server counts as unreachable. A single lost renewal causes a shorter one: the wait and
// the timeout of the renewal, and the delay before the next.
const unreachableAfter = 700 * time.Millisecond

// Reachable reports whether a server is known, and whether it has answered recently. A server that hasn't been asked yet counts as reachable.
func (c *Core) Reachable(server string) (known, reachable bool) {
	s := c.servers[server]
	if s == nil {
		return false, false
	}
	return true, !s.unresponsive || s.recvAt > 0 && c.now-s.recvAt < unreachableAfter
}

// Idle reports whether a server has no runs, and since how long. A server that hasn't reported yet, or that has listed ends which aren't stored yet,
// isn't idle.
func (c *Core) Idle(server string) (bool, time.Duration) {
	s := c.servers[server]
	if s == nil || !s.reconciled || len(s.runs) > 0 || s.storedEnd < s.lastEnd {
		return false, 0
	}
	return true, c.now - s.idleSince
}
