package dispatch

import (
	"maps"
	"slices"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/waitorder"
)

const (
	// maxExplainedSteps and maxExplainedTasks bound what an explanation costs the dispatcher. Each step and each task may be compared with all servers.
	maxExplainedSteps = 16
	maxExplainedTasks = 512
	// maxNamedServers bounds the servers that an explanation names for a step.
	maxNamedServers = 20
)

// Explanation says what would happen to a job that was submitted now.
type Explanation struct {
	Service      string          `json:"service"`
	Workspace    string          `json:"workspace,omitempty"`
	Limit        jobs.Resources  `json:"limit"` // of the workspace; zero means none
	Usage        jobs.Resources  `json:"usage"` // what counts towards the limit now
	OverShare    bool            `json:"over_share"`
	BeyondShare  bool            `json:"beyond_share"` // the workspace uses more of the service's servers than its share
	Accepted     bool            `json:"accepted"`
	Reason       string          `json:"reason,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	WaitMS       int64           `json:"wait_ms"` // expected, by the load of the service
	Class        string          `json:"class"`
	JobsBefore   int             `json:"jobs_before"`    // waiting jobs of the service that come before it
	Held         string          `json:"held,omitempty"` // why none of its tasks could start now, whatever the servers
	Steps        []ExplainedStep `json:"steps"`
	Cut          bool            `json:"cut"` // some steps or tasks were left out
}

// ExplainedStep says which servers would be tried for a step.
type ExplainedStep struct {
	Tasks   int            `json:"tasks"`
	Ready   bool           `json:"ready"` // it waits for no other step
	AtLimit bool           `json:"at_limit"`
	Tried   int            `json:"tried"`   // number of servers that may run a task of it now
	Servers []string       `json:"servers"` // the first of these by id
	Starts  map[string]int `json:"starts"`  // number of tasks that would start now, by server
	Ruled   map[string]int `json:"ruled_out"`
}

// classNames names the classes of the waiting order.
var classNames = map[waitorder.Class]string{
	waitorder.LongRunning: "long-running", waitorder.Begun: "begun", waitorder.BegunLate: "begun, late", waitorder.OnTime: "on time", waitorder.OverShare: "over share",
	waitorder.Overdue: "overdue", waitorder.Late: "late", waitorder.LateOverShare: "late, over share", waitorder.TooLate: "too late",
}

// Explain says what would happen to a valid job if it was submitted now, stored, and placed behind the jobs that wait, of which none is taken to start
// before it. It changes nothing.
func (c *Core) Explain(sub *jobs.Submission) Explanation {
	j := &job{sub: sub, submittedAt: c.now, startMark: markStored, occurrences: map[int]*occurrence{}, doneOccurrences: map[int]bool{}}
	o := j.addOccurrence(0)
	service := c.serviceOf(j)
	k := c.copyFor(service, sub.Workspace)
	e := Explanation{Service: service, Workspace: sub.Workspace, Limit: k.limits[sub.Workspace], OverShare: k.overShare(sub.Workspace), Accepted: true}
	if !k.alwaysAdmitted(sub) {
		_, v, a := k.decideAdmission(sub)
		e.Accepted, e.Reason, e.RetryAfterMS = v.Accepted, string(v.Reason), v.Return.Milliseconds()
		e.WaitMS = k.currentLoad(service).EstimatedWait(a.demand).Milliseconds()
	}
	k.chargeShare(j)
	k.updateAwaited()
	k.updateUnreportedUsage()
	e.Usage = k.workspaceUsage(sub.Workspace)
	waiting := []*job{j}
	for id, w := range k.jobs {
		if id != sub.ID && !w.cancelled && !w.failed && k.serviceOf(w) == service && k.hasStartable(w) {
			waiting = append(waiting, w)
		}
	}
	byService := map[string][]*job{service: waiting}
	k.updateBeyondShare(byService)
	e.BeyondShare = k.beyondShare[workspacePool{service, sub.Workspace}]
	position := k.candidate(j)
	e.Class = classNames[position.Class]
	for _, w := range waiting[1:] {
		if compareCandidates(k.candidate(w), position) < 0 {
			e.JobsBefore++
		}
	}
	for _, s := range o.steps[:min(len(o.steps), maxExplainedSteps)] {
		e.Steps = append(e.Steps, k.explainStep(s, service))
	}
	e.Cut = cutTasks(o)
	k.placeExplained(&e, position, k.serverPools(byService)[service], o)
	return e
}

// placeExplained starts the job's tasks on a copy, and notes where.
func (c *Core) placeExplained(e *Explanation, w candidate, pool *serverPool, o *occurrence) {
	switch {
	case c.evacuation.held:
		e.Held = "starts are held: the operators' records can't be read"
	case pool == nil:
		e.Held = "no server of the service gets work"
	case !pool.room().Admits(w.Class):
		e.Held = "the rest of the pool is kept free of late jobs"
	}
	if e.Held != "" {
		return
	}
	c.placeJob(w, pool)
	for i := range e.Steps {
		for _, t := range o.steps[i].tasks {
			if t.run != nil {
				e.Steps[i].Starts[t.run.server.info.ID]++
			}
		}
	}
}

// cutTasks leaves out the tasks and steps beyond those that are explained, and reports whether there were any. A gang that would be cut is left out whole.
func cutTasks(o *occurrence) bool {
	cut, left := len(o.steps) > maxExplainedSteps, maxExplainedTasks
	for i, s := range o.steps {
		if !s.ready() {
			continue // nothing of it starts now
		}
		keep := min(len(s.tasks), left)
		if i >= maxExplainedSteps || s.spec.Gang && keep < len(s.tasks) {
			keep = 0
		}
		cut = cut || keep < len(s.tasks)
		left -= keep
		s.waiting = keep
		if keep > 0 { // a step without tasks would count as done
			s.tasks = s.tasks[:keep]
		}
	}
	return cut
}

// explainStep counts the servers of a service that may run a task of a step now, and the others by the first rule that rules them out.
func (c *Core) explainStep(s *step, service string) ExplainedStep {
	t := s.tasks[0] // tasks that have never started are alike
	e := ExplainedStep{Tasks: len(s.tasks), Ready: s.ready(), AtLimit: !c.withinLimit(t), Servers: []string{}, Starts: map[string]int{}, Ruled: map[string]int{}}
	for _, srv := range c.servers {
		if srv.info.Service != service {
			continue
		}
		if rule := c.ruleAgainst(t, srv); rule != "" {
			e.Ruled[rule]++
			continue
		}
		e.Tried++
		e.Servers = append(e.Servers, srv.info.ID)
	}
	slices.Sort(e.Servers)
	e.Servers = e.Servers[:min(len(e.Servers), maxNamedServers)]
	return e
}

// ruleAgainst names the first rule that keeps a task from a server now, or returns "".
func (c *Core) ruleAgainst(t *task, s *server) string {
	switch {
	case !c.schedulable(s):
		return c.unschedulableRule(s)
	case !s.info.HasLabel(t.step.spec.Label):
		return "label"
	case !c.permitted(t, s):
		return "no ticket"
	case !t.step.spec.Allocation().Fits(s.info.Capacity.Sub(s.used)):
		return "no room"
	case t.step.remainingPlaces(s) == 0:
		return "limit per server"
	case !c.acceptsTask(s, t):
		return "kept for a suspect"
	}
	return ""
}

// unschedulableRule names the first rule by which a server gets no new work.
func (c *Core) unschedulableRule(s *server) string {
	switch {
	case !s.listed || !s.info.Ready || s.terminated:
		return "not listed or draining"
	case !s.recorded || !s.reconciled || s.recvAt == 0 || c.now-s.recvAt >= maxReportAge:
		return "no recent report"
	case c.now < s.backoffUntil:
		return "held back after failures"
	case s.unresponsive || c.hasOverdueStart(s):
		return "unresponsive"
	case s.cordoned || s.released:
		return "cordoned or released"
	case c.withheld(s):
		return "data centre evacuated or returning"
	}
	return "other"
}

// copyFor returns a copy on which a job of a service and a workspace can be admitted and placed without a change to the original. Jobs and the servers of
// other services are shared with it, and nothing may change them.
func (c *Core) copyFor(service, workspace string) *Core {
	k := *c
	k.servers = maps.Clone(c.servers)
	for id, s := range c.servers {
		if s.info.Service == service {
			own := *s
			own.runs, own.images = maps.Clone(s.runs), maps.Clone(s.images)
			k.servers[id] = &own
		}
	}
	k.usage, k.poolUsage, k.beyondShare = maps.Clone(c.usage), maps.Clone(c.poolUsage), map[workspacePool]bool{}
	k.awaited, k.unreportedUsage = maps.Clone(c.awaited), map[string]jobs.Resources{}
	k.shares = maps.Clone(c.shares)
	if s := c.shares[workspace]; s != nil {
		own := *s
		k.shares[workspace] = &own
	}
	k.admission.loads, k.admission.admitted = maps.Clone(c.admission.loads), maps.Clone(c.admission.admitted)
	k.admission.rejections, k.admission.acceptedAt = maps.Clone(c.admission.rejections), maps.Clone(c.admission.acceptedAt)
	k.unstoredJobs, k.eventCounts, k.markedWaiting = map[string]*job{}, map[string]int{}, map[string]int{}
	k.orders, k.records, k.problems, k.summaries, k.unstoredCrashes = nil, nil, nil, nil, nil
	return &k
}
