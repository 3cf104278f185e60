package dispatch

import (
	"maps"
	"time"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/loadshed"
)

const (
	// measureInterval is the minimum time between two measurements of the services' load.
	measureInterval = 100 * time.Millisecond
	// admittedTTL is how long an accepted job that hasn't arrived counts towards the load. Its node starts no append of it after appendRetryTimeout of
	// package jobnode.
	admittedTTL = 2 * time.Second
	// rejectionRetention is how long a rejection is remembered, and retryTolerance by how much a retry may come before the time that the caller was
	// given.
	rejectionRetention = 30 * time.Second
	retryTolerance     = 500 * time.Millisecond
	// acceptedRetention is how long a job that was accepted once isn't rejected. Its append may have stayed unanswered and take effect seconds later,
	// whereas a rejection tells the caller that the job will never run.
	acceptedRetention = time.Minute
	// admitAllPeriod is how long a new dispatcher rejects nothing, because it doesn't know what was accepted before. An append takes effect within
	// this period.
	admitAllPeriod = 5 * time.Second
)

// ArrivingServers describes the servers that will join a service.
type ArrivingServers struct {
	Count      int
	ArrivingIn time.Duration // time until half of them are available
}

// admittedJob is a job that was accepted and hasn't arrived yet.
type admittedJob struct {
	service string
	backlog time.Duration
	demand  float64 // number of servers that its first tasks fill
	at      time.Duration
}

// rejection records when a caller was first rejected, when it was last told to retry, and the server time of its job.
type rejection struct {
	firstAt, retryAt time.Duration
	service          string
	backlog          time.Duration
	reason           loadshed.Reason
}

// addTo counts the caller among those of its service who will return.
func (r rejection) addTo(loads map[string]loadshed.ServiceLoad) {
	load := loads[r.service]
	if r.reason == loadshed.OverShare {
		load.ReturningOver += r.backlog
	} else {
		load.Returning += r.backlog
	}
	loads[r.service] = load
}

// admission is the state behind the decisions on new jobs.
type admission struct {
	loads      map[string]loadshed.ServiceLoad
	measuredAt time.Duration
	arriving   map[string]ArrivingServers
	admitted   map[string]admittedJob // by job
	rejections map[string]rejection   // by job
	// acceptedAt is when each job was last accepted; startedAt is when this dispatcher started.
	acceptedAt map[string]time.Duration
	startedAt  time.Duration
}

// MarkAccepted records that a node has accepted a job without a verdict and doesn't know whether it is stored.
func (c *Core) MarkAccepted(id string) { c.admission.acceptedAt[id] = c.now }

// SetArrivingServers sets the servers that will join each service.
func (c *Core) SetArrivingServers(arriving map[string]ArrivingServers) {
	c.admission.arriving = arriving
}

// Admit decides whether a submitted job is accepted. Long-running and scheduled jobs always are, and so are jobs that may already be stored.
func (c *Core) Admit(sub *jobs.Submission) loadshed.Verdict {
	if c.alwaysAdmitted(sub) {
		return loadshed.Verdict{Accepted: true}
	}
	j, v, a := c.decideAdmission(sub)
	if !v.Accepted {
		c.reject(j, v, a)
		return v
	}
	delete(c.admission.rejections, sub.ID)
	c.MarkAccepted(sub.ID)
	c.admission.admitted[sub.ID] = a
	c.count("job_admitted")
	return v
}

func (c *Core) alwaysAdmitted(sub *jobs.Submission) bool {
	return sub.Spec.LongRunning() || sub.Spec.Scheduled() || c.jobs[sub.ID] != nil || c.endedJobs[sub.ID]
}

// decideAdmission returns the verdict on a job that may be rejected, and what its admission would add to the load. It records nothing but measurements.
func (c *Core) decideAdmission(sub *jobs.Submission) (*job, loadshed.Verdict, admittedJob) {
	c.updateLoads()
	j := &job{sub: sub, submittedAt: c.now, occurrences: map[int]*occurrence{}}
	o := j.addOccurrence(0)
	a := admittedJob{service: c.serviceOf(j), at: c.now}
	a.backlog, a.demand = c.waitingWork(o)
	_, acceptedBefore := c.admission.acceptedAt[sub.ID]
	v := loadshed.Verdict{Accepted: true}
	if !acceptedBefore && c.now-c.admission.startedAt >= admitAllPeriod {
		v = loadshed.Decide(c.currentLoad(a.service), c.admissionJob(o, a.demand))
	}
	return j, v, a
}

// ServiceLoads returns the load of each service, without accepted jobs that haven't arrived yet.
func (c *Core) ServiceLoads() map[string]loadshed.ServiceLoad {
	c.updateLoads()
	return maps.Clone(c.admission.loads)
}

// currentLoad returns the load of a service, including accepted jobs that haven't arrived yet.
func (c *Core) currentLoad(name string) loadshed.ServiceLoad {
	s := c.admission.loads[name]
	for _, a := range c.admission.admitted {
		if a.service == name {
			s.Backlog += a.backlog
			s.WaitingDemand += a.demand
		}
	}
	return s
}

// admissionJob returns the description of a job for the admission decision. Its first tasks fill the given number of servers.
func (c *Core) admissionJob(o *occurrence, demand float64) loadshed.Job {
	sub := o.job.sub
	total, _ := c.criticalPath(o)
	described := loadshed.Job{ID: sub.ID, CriticalPath: total, Demand: demand, Objective: objective(sub, total), OverShare: c.overShare(sub.Workspace)}
	if r, known := c.admission.rejections[sub.ID]; known {
		described.Elapsed, described.ScheduledRetry = c.now-r.firstAt, c.now >= r.retryAt-retryTolerance
	}
	return described
}

// reject records that a job was rejected, and when its caller was told to retry.
func (c *Core) reject(j *job, v loadshed.Verdict, a admittedJob) {
	r, known := c.admission.rejections[j.sub.ID]
	if !known {
		r.firstAt = c.now
		c.addArrival(j) // the autoscaler must provide machines for what is submitted, not only for what is accepted
	}
	counted := c.now < r.retryAt
	r.retryAt, r.service, r.backlog, r.reason = c.now+v.Return, a.service, a.backlog, v.Reason
	if !counted {
		r.addTo(c.admission.loads)
	}
	c.admission.rejections[j.sub.ID] = r
	c.count("job_turned_away_" + string(v.Reason))
}

// updateLoads measures the load and the capacity of each service, unless the last measurement is recent.
func (c *Core) updateLoads() {
	a := &c.admission
	if a.loads != nil && c.now-a.measuredAt < measureInterval {
		return
	}
	a.measuredAt = c.now
	a.expire(c)
	a.loads = map[string]loadshed.ServiceLoad{}
	c.measureServers()
	c.measureJobs()
	for _, r := range a.rejections {
		if r.retryAt > c.now {
			r.addTo(a.loads)
		}
	}
}

// expire removes the entries of jobs that have arrived or ended, and entries that are too old.
func (a *admission) expire(c *Core) {
	maps.DeleteFunc(a.admitted, func(id string, ad admittedJob) bool {
		return c.jobs[id] != nil || c.endedJobs[id] || c.now-ad.at > admittedTTL
	})
	maps.DeleteFunc(a.rejections, func(_ string, r rejection) bool { return c.now-r.firstAt > rejectionRetention })
	maps.DeleteFunc(a.acceptedAt, func(_ string, at time.Duration) bool { return c.now-at > acceptedRetention })
}

// measureServers adds up, per service, the capacity that is left for tasks that end by themselves, and the arriving servers.
func (c *Core) measureServers() {
	loads := c.admission.loads
	for _, s := range c.servers {
		if c.schedulable(s) {
			service := loads[s.info.Service]
			service.Servers += 1 - longRunningUsage(s).DominantShare(s.info.Capacity)
			service.FreeServers += 1 - s.used.DominantShare(s.info.Capacity)
			loads[s.info.Service] = service
			c.typicalCapacity = s.info.Capacity
		}
	}
	for name, arriving := range c.admission.arriving {
		service := loads[name]
		service.ArrivingServers, service.ArrivingIn = float64(arriving.Count), arriving.ArrivingIn
		loads[name] = service
	}
}

// measureJobs adds up the waiting work of each service.
func (c *Core) measureJobs() {
	loads := c.admission.loads
	for _, j := range c.jobs {
		if j.cancelled || j.failed || j.sub.Spec.LongRunning() {
			continue
		}
		late := c.candidate(j).Class.Late()
		name := c.serviceOf(j)
		service := loads[name]
		for _, o := range j.occurrences {
			work, ready := c.waitingWork(o)
			if late {
				service.LateBacklog += work // late jobs yield to jobs that can be on time
				continue
			}
			service.Backlog += work
			service.WaitingDemand += ready
		}
		loads[name] = service
	}
}

// longRunningUsage returns the resources that a server's long-running tasks use.
func longRunningUsage(s *server) jobs.Resources {
	var r jobs.Resources
	for _, run := range s.runs {
		if run.task.step.spec.LongRunning {
			r = r.Add(run.task.step.spec.Allocation())
		}
	}
	return r
}

// waitingWork returns the server time of the waiting tasks of an occurrence, and the number of servers that those of its ready steps would fill.
func (c *Core) waitingWork(o *occurrence) (work time.Duration, ready float64) {
	for _, s := range o.steps {
		servers := float64(s.waiting) * s.spec.Allocation().DominantShare(c.typicalCapacity)
		work += time.Duration(servers * c.taskMS(o.job, s.spec.EstimateMS) * float64(time.Millisecond))
		if s.ready() {
			ready += servers
		}
	}
	return work, ready
}
