package dispatch

import "slices"

// maxMarkedWaiting is the number of jobs of a service that may wait for capacity with a stored start mark, which says that their tasks may have been
// started. Unmarked jobs certainly have no runs, so a new dispatcher can start them without waiting for unresponsive servers; marked jobs can start
// while the store is unavailable. At the largest load a pool starts about this many jobs in a tenth of a second. Beyond this number a job is marked only
// if it could start at once, since those that wait may be waiting for a place that doesn't exist; as many such marks may be underway at a time.
const maxMarkedWaiting = 32

// markState says how far the storing of a job's start mark has got.
type markState int

const (
	markNone markState = iota
	markRequested
	markSent
	markStored
)

// markBudget counts the start marks of a service during a scheduling pass.
type markBudget struct {
	waiting  int // marked jobs that wait, and jobs whose mark is requested as one of the first maxMarkedWaiting
	startNow int // jobs beyond these whose mark is requested because they could start at once
}

// requestMark requests the start mark of a job if the budget allows it and the job's workspace isn't at its limit.
func (c *Core) requestMark(j *job, pool *serverPool, budget *markBudget) {
	switch {
	case c.atLimit(j):
		return
	case budget.waiting < maxMarkedWaiting:
		budget.waiting++
	case budget.startNow < maxMarkedWaiting && c.fitsNow(j, pool):
		budget.startNow++
	default:
		return
	}
	if j.startMark == markNone {
		j.startMark = markRequested
		c.markDirty(j)
	}
}

// fitsNow reports whether a task of a job could start now on a server of a pool.
func (c *Core) fitsNow(j *job, pool *serverPool) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.waiting == 0 || !s.ready() {
				continue
			}
			i := slices.IndexFunc(s.tasks, c.startable) // tasks of a step that have never started are alike
			if i < 0 {
				continue
			}
			if _, found := c.chooseServer(s.tasks[i], pool); found {
				return true
			}
		}
	}
	return false
}

// StartsSoon reports whether an admitted job is likely to start as soon as it is stored, so that its start mark should be stored with it: the job
// hasn't arrived at this dispatcher yet, and fewer than maxMarkedWaiting marked jobs of its service wait.
func (c *Core) StartsSoon(id string) bool {
	a, found := c.admission.admitted[id]
	return found && c.jobs[id] == nil && !c.endedJobs[id] && c.markedWaiting[a.service] < maxMarkedWaiting
}

// atLimit reports whether the limit of its workspace keeps a job from starting any task.
func (c *Core) atLimit(j *job) bool {
	usage, limit := c.workspaceUsage(j.sub.Workspace), c.limits[j.sub.Workspace]
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.doneCount < len(s.tasks) && s.ready() && usage.Add(s.spec.Need).Within(limit) {
				return false
			}
		}
	}
	return true
}
