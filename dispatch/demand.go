package dispatch

import (
	"time"

	"example.org/comfreyrouter/jobs"
)

const (
	// arrivalSpan is the time over which arriving work is averaged: long enough for a few jobs, and short against turns of some seconds.
	arrivalSpan = 700 * time.Millisecond
	// laterShare is the share of the tasks of later steps that counts as needed now; they begin when the step before has ended.
	laterShare = 0.4
)

// Demand is what a service's tasks need.
type Demand struct {
	Need jobs.Resources // of jobs that can be on time: what runs, waits and is about to come
	// LongRunning is the part of it that long-running tasks need.
	LongRunning jobs.Resources
	// MinServers is the most tasks of a long-running step that must run on different servers.
	MinServers int
}

// arrivals averages the work that arrives at a service.
type arrivals struct {
	rate jobs.Resources // needed at any time if work goes on arriving like this
	at   time.Duration
}

// noteArrival takes the work of a new job into the average.
func (c *Core) noteArrival(j *job) {
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
		// Work of taskMS on each task, spread over the averaging span.
		share := c.taskMS(j, s.EstimateMS) * float64(s.Count) / float64(arrivalSpan.Milliseconds())
		a.rate = a.rate.Add(times(s.Allocation(), share))
	}
}

// decay lets the average fall by the time that has passed.
func (a *arrivals) decay(now time.Duration) {
	left := max(0, 1-float64(now-a.at)/float64(arrivalSpan))
	a.rate, a.at = times(a.rate, left), now
}

func times(r jobs.Resources, f float64) jobs.Resources {
	return jobs.Resources{CPU: int64(float64(r.CPU) * f), MemoryMB: int64(float64(r.MemoryMB) * f), GPU: int64(float64(r.GPU) * f)}
}

// Demands returns the demand of each service.
func (c *Core) Demands() map[string]Demand {
	demands := map[string]Demand{}
	for _, j := range c.jobs {
		if j.cancelled || j.failed || c.candidate(j).rank.late() {
			continue // machines come for jobs that can be on time
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

// add counts the tasks of an occurrence.
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
			need += laterShare * float64(waiting)
		}
		d.Need = d.Need.Add(times(s.spec.Allocation(), need))
		if s.spec.LongRunning {
			d.LongRunning = d.LongRunning.Add(times(s.spec.Allocation(), float64(running+waiting)))
		}
		if s.spec.LongRunning && (s.spec.MaxPerServer > 0 || s.spec.MissBudget > 0) {
			most := max(s.spec.MaxPerServer, 1)
			d.MinServers = max(d.MinServers, (len(s.tasks)+most-1)/most)
		}
	}
}

// Reachable reports whether a server is known and answered its last renewal, or hasn't been asked yet.
func (c *Core) Reachable(server string) bool {
	s := c.servers[server]
	return s != nil && !s.silent
}

// Idle reports whether nothing runs on a server, and for how long nothing has. A server that isn't known yet, or that has listed ends
// which aren't stored yet, isn't idle.
func (c *Core) Idle(server string) (bool, time.Duration) {
	s := c.servers[server]
	if s == nil || !s.swept || len(s.runs) > 0 || s.taken < s.seen {
		return false, 0
	}
	return true, c.now - s.idleSince
}
