package dispatch

import (
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/turnaway"
)

const (
	// measureEvery is the least time between two looks at what the services have to do.
	measureEvery = 40 * time.Millisecond
	// admittedWithin is how long an accepted job counts although it hasn't come: its node stores it within writeBudget.
	admittedWithin = 2 * time.Second
	// turnedKept is how long it is known that a caller was turned away, and early by how much sooner than told a caller may return.
	turnedKept = 30 * time.Second
	// acceptedKept is how long a job that was accepted once is not refused. Its append may have got no answer and take effect seconds later, and a
	// caller who is refused is told that the job never runs.
	acceptedKept = time.Minute
	// unknownBefore is how long a new dispatcher refuses nothing, because it doesn't know what was accepted before; an append takes effect within it.
	unknownBefore = 5 * time.Second
	returnEarly   = 500 * time.Millisecond
)

// Coming is what is on its way to a service.
type Coming struct {
	Servers int
	In      time.Duration
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
	services   map[string]turnaway.Service
	measuredAt time.Duration
	coming     map[string]Coming
	admitted   map[string]admitted // by job
	turned     map[string]turned   // by job
	// accepted is when a job was accepted last; since is when this dispatcher began.
	accepted map[string]time.Duration
	since    time.Duration
}

// NoteAccepted notes that a node has accepted a job without a verdict, and doesn't know whether it is stored.
func (c *Core) NoteAccepted(id string) { c.admission.accepted[id] = c.now }

// SetComing takes the servers that are on their way, by service.
func (c *Core) SetComing(coming map[string]Coming) { c.admission.coming = coming }

// Admit decides whether a job that a caller wants to hand in is accepted. Jobs that last, or that have a time, always are.
func (c *Core) Admit(sub *jobs.Submission) turnaway.Verdict {
	if sub.Spec.LongRunning() || sub.Spec.Timed() || c.jobs[sub.ID] != nil || c.ended[sub.ID] {
		return turnaway.Verdict{Accepted: true}
	}
	c.measure()
	j := &job{sub: sub, submitted: c.now, occurrences: map[int]*occurrence{}}
	o := j.addOccurrence(0)
	whole, _ := c.chain(o)
	asked, known := c.admission.turned[sub.ID]
	ask := turnaway.Job{
		ID: sub.ID, Chain: whole, Objective: time.Duration(sub.SlackFactor*float64(whole)) + time.Duration(sub.TargetMS)*time.Millisecond,
		OverShare: c.overShare(sub.Workspace),
	}
	if known {
		ask.Asked, ask.Returned = c.now-asked.first, c.now >= asked.back-returnEarly
	}
	service := c.serviceOf(j)
	s := c.admission.services[service]
	work, needs := c.waitingWork(o)
	for _, a := range c.admission.admitted {
		if a.service == service {
			s.Backlog += a.work
			s.Waiting += a.needs
		}
	}
	ask.Needs = needs
	v := turnaway.Decide(s, ask)
	_, before := c.admission.accepted[sub.ID]
	if before || c.now-c.admission.since < unknownBefore {
		v = turnaway.Verdict{Accepted: true}
	}
	if v.Accepted {
		delete(c.admission.turned, sub.ID)
		c.NoteAccepted(sub.ID)
		c.admission.admitted[sub.ID] = admitted{service, work, needs, c.now}
		c.count("job_admitted")
		return v
	}
	if !known {
		asked.first = c.now
		c.noteArrival(j) // machines have to come for what is asked, not for what is accepted
	}
	asked.back = c.now + v.Return
	c.admission.turned[sub.ID] = asked
	c.count("job_turned_away_" + string(v.Reason))
	return v
}

// measure looks at what the services have to do and can do.
func (c *Core) measure() {
	a := &c.admission
	if a.services != nil && c.now-a.measuredAt < measureEvery {
		return
	}
	a.measuredAt = c.now
	for id, ad := range a.admitted {
		if c.jobs[id] != nil || c.ended[id] || c.now-ad.at > admittedWithin {
			delete(a.admitted, id)
		}
	}
	for id, t := range a.turned {
		if c.now-t.first > turnedKept {
			delete(a.turned, id)
		}
	}
	for id, at := range a.accepted {
		if c.now-at > acceptedKept {
			delete(a.accepted, id)
		}
	}
	a.services = map[string]turnaway.Service{}
	for _, s := range c.servers {
		if c.usable(s) {
			service := a.services[s.info.Service]
			service.Servers += 1 - shareOf(standing(s), s.info.Room)
			service.Free += 1 - shareOf(s.used, s.info.Room)
			a.services[s.info.Service] = service
			c.usualRoom = s.info.Room
		}
	}
	for name, coming := range a.coming {
		service := a.services[name]
		service.Coming, service.ComesIn = float64(coming.Servers), coming.In
		a.services[name] = service
	}
	for _, j := range c.jobs {
		if j.cancelled || j.failed || j.sub.Spec.LongRunning() {
			continue
		}
		late := c.candidate(j).rank.late()
		name := c.serviceOf(j)
		service := a.services[name]
		for _, o := range j.occurrences {
			work, ready := c.waitingWork(o)
			if late {
				service.Late += work // it gives way
				continue
			}
			service.Backlog += work
			service.Waiting += ready
		}
		a.services[name] = service
	}
}

// standing returns what a server's long-running tasks take.
func standing(s *server) jobs.Resources {
	var r jobs.Resources
	for _, run := range s.runs {
		if run.task.step.spec.LongRunning {
			r = r.Add(run.task.step.spec.Occupies())
		}
	}
	return r
}

// shareOf returns the share of a room that resources take, by the one of which they take most.
func shareOf(r, room jobs.Resources) float64 {
	share := 0.0
	if room.CPU > 0 {
		share = max(share, float64(r.CPU)/float64(room.CPU))
	}
	if room.MemoryMB > 0 {
		share = max(share, float64(r.MemoryMB)/float64(room.MemoryMB))
	}
	if room.GPU > 0 {
		share = max(share, float64(r.GPU)/float64(room.GPU))
	}
	return share
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
		servers := waiting * shareOf(s.spec.Occupies(), c.usualRoom)
		work += time.Duration(servers * c.taskMS(o.job, s.spec.EstimateMS) * float64(time.Millisecond))
		if s.ready() {
			ready += servers
		}
	}
	return work, ready
}
