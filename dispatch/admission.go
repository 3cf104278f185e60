package dispatch

import (
	"maps"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/loadshed"
)

const (
	// measureEvery is the least time between two looks at what the services have to do.
	measureEvery = 40 * time.Millisecond
	// admittedWithin is how long an accepted job counts although it hasn't come: its node stores it within writeBudget.
	admittedWithin = 2 * time.Second
	// turnedKept is how long it is known that a caller was turned away, and returnEarly by how much sooner than told a caller may return.
	turnedKept  = 30 * time.Second
	returnEarly = 500 * time.Millisecond
	// acceptedKept is how long a job that was accepted once is not refused. Its append may have got no answer and take effect seconds later, and a
	// caller who is refused is told that the job never runs.
	acceptedKept = time.Minute
	// unknownBefore is how long a new dispatcher refuses nothing, because it doesn't know what was accepted before; an append takes effect within it.
	unknownBefore = 5 * time.Second
)

// ArrivingServers is what is on its way to a service.
type ArrivingServers struct {
	Count      int
	ArrivingIn time.Duration
}

// admitted is a job that was accepted and hasn't come yet.
type admitted struct {
	service string
	work    time.Duration
	needs   float64 // servers that its first tasks fill
	at      time.Duration
}

// turned is a caller that was turned away.
type turned struct{ first, back time.Duration }

// admission is what the decisions on new jobs rest on.
type admission struct {
	services   map[string]loadshed.ServiceLoad
	measuredAt time.Duration
	coming     map[string]ArrivingServers
	admitted   map[string]admitted // by job
	turned     map[string]turned   // by job
	// accepted is when a job was accepted last; since is when this dispatcher began.
	accepted map[string]time.Duration
	since    time.Duration
}

// NoteAccepted notes that a node has accepted a job without a verdict, and doesn't know whether it is stored.
func (c *Core) NoteAccepted(id string) { c.admission.accepted[id] = c.now }

// SetArrivingServers takes the servers that are on their way, by service.
func (c *Core) SetArrivingServers(coming map[string]ArrivingServers) { c.admission.coming = coming }

// Admit decides whether a job that a caller wants to hand in is accepted. Jobs that last, or that have a time, always are, and so are those that
// may be stored already.
func (c *Core) Admit(sub *jobs.Submission) loadshed.Verdict {
	if sub.Spec.LongRunning() || sub.Spec.Scheduled() || c.jobs[sub.ID] != nil || c.ended[sub.ID] {
		return loadshed.Verdict{Accepted: true}
	}
	c.measure()
	j := &job{sub: sub, submitted: c.now, occurrences: map[int]*occurrence{}}
	o := j.addOccurrence(0)
	a := admitted{service: c.serviceOf(j), at: c.now}
	a.work, a.needs = c.waitingWork(o)
	_, before := c.admission.accepted[sub.ID]
	v := loadshed.Verdict{Accepted: true}
	if !before && c.now-c.admission.since >= unknownBefore {
		v = loadshed.Decide(c.serviceNow(a.service), c.asked(o, a.needs))
	}
	if !v.Accepted {
		c.turnAway(j, v)
		return v
	}
	delete(c.admission.turned, sub.ID)
	c.NoteAccepted(sub.ID)
	c.admission.admitted[sub.ID] = a
	c.count("job_admitted")
	return v
}

// serviceNow returns what a service has to do, with the jobs that were accepted and haven't come yet.
func (c *Core) serviceNow(name string) loadshed.ServiceLoad {
	s := c.admission.services[name]
	for _, a := range c.admission.admitted {
		if a.service == name {
			s.Backlog += a.work
			s.WaitingDemand += a.needs
		}
	}
	return s
}

// asked returns what the decision on a job needs to know of it. Its first tasks fill a number of servers.
func (c *Core) asked(o *occurrence, needs float64) loadshed.Job {
	sub := o.job.sub
	whole, _ := c.chain(o)
	ask := loadshed.Job{ID: sub.ID, CriticalPath: whole, Demand: needs, Objective: objective(sub, whole), OverShare: c.overShare(sub.Workspace)}
	if t, known := c.admission.turned[sub.ID]; known {
		ask.Elapsed, ask.ScheduledRetry = c.now-t.first, c.now >= t.back-returnEarly
	}
	return ask
}

// turnAway notes that a job was not accepted.
func (c *Core) turnAway(j *job, v loadshed.Verdict) {
	t, known := c.admission.turned[j.sub.ID]
	if !known {
		t.first = c.now
		c.noteArrival(j) // machines have to come for what is asked, not for what is accepted
	}
	t.back = c.now + v.Return
	c.admission.turned[j.sub.ID] = t
	c.count("job_turned_away_" + string(v.Reason))
}

// measure looks at what the services have to do and can do.
func (c *Core) measure() {
	a := &c.admission
	if a.services != nil && c.now-a.measuredAt < measureEvery {
		return
	}
	a.measuredAt = c.now
	a.forget(c)
	a.services = map[string]loadshed.ServiceLoad{}
	c.measureServers()
	c.measureJobs()
}

// forget drops what no longer counts.
func (a *admission) forget(c *Core) {
	maps.DeleteFunc(a.admitted, func(id string, ad admitted) bool {
		return c.jobs[id] != nil || c.ended[id] || c.now-ad.at > admittedWithin
	})
	maps.DeleteFunc(a.turned, func(_ string, t turned) bool { return c.now-t.first > turnedKept })
	maps.DeleteFunc(a.accepted, func(_ string, at time.Duration) bool { return c.now-at > acceptedKept })
}

// measureServers counts the servers of each service that run tasks which end by themselves, and those that are on their way.
func (c *Core) measureServers() {
	services := c.admission.services
	for _, s := range c.servers {
		if c.usable(s) {
			service := services[s.info.Service]
			service.Servers += 1 - standing(s).DominantShare(s.info.Capacity)
			service.FreeServers += 1 - s.used.DominantShare(s.info.Capacity)
			services[s.info.Service] = service
			c.usualRoom = s.info.Capacity
		}
	}
	for name, coming := range c.admission.coming {
		service := services[name]
		service.ArrivingServers, service.ArrivingIn = float64(coming.Count), coming.ArrivingIn
		services[name] = service
	}
}

// measureJobs adds up the work that waits at each service.
func (c *Core) measureJobs() {
	services := c.admission.services
	for _, j := range c.jobs {
		if j.cancelled || j.failed || j.sub.Spec.LongRunning() {
			continue
		}
		late := c.candidate(j).rank.late()
		name := c.serviceOf(j)
		service := services[name]
		for _, o := range j.occurrences {
			work, ready := c.waitingWork(o)
			if late {
				service.LateBacklog += work // it gives way
				continue
			}
			service.Backlog += work
			service.WaitingDemand += ready
		}
		services[name] = service
	}
}

// standing returns what a server's long-running tasks take.
func standing(s *server) jobs.Resources {
	var r jobs.Resources
	for _, run := range s.runs {
		if run.task.step.spec.LongRunning {
			r = r.Add(run.task.step.spec.Allocation())
		}
	}
	return r
}

// waitingWork returns the work of the tasks of an occurrence that haven't begun, on one server, and the servers that those fill which could begin now.
func (c *Core) waitingWork(o *occurrence) (work time.Duration, ready float64) {
	for _, s := range o.steps {
		waiting := 0.0
		for _, t := range s.tasks {
			if t.run == nil && !t.done {
				waiting++
			}
		}
		servers := waiting * s.spec.Allocation().DominantShare(c.usualRoom)
		work += time.Duration(servers * c.taskMS(o.job, s.spec.EstimateMS) * float64(time.Millisecond))
		if s.ready() {
			ready += servers
		}
	}
	return work, ready
}
