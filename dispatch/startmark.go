package dispatch

// maxMarkedWaiting is the number of jobs of a service that may wait for capacity with a stored mark that they may have been started. Unmarked jobs
// certainly have no runs, so a new dispatcher can start them without waiting for unresponsive servers; marked jobs can start while the store is
// unavailable. At the largest load a pool starts about this many jobs in a tenth of a second.
const maxMarkedWaiting = 32

// markState is the state of a job's stored mark that its tasks may have been started.
type markState int

const (
	markNone markState = iota
	markRequested
	markSent
	markStored
)

// requestMark requests the mark of a job if fewer than maxMarkedWaiting jobs are before it, and returns how many of these places the job takes.
func (c *Core) requestMark(j *job, before int) int {
	if before >= maxMarkedWaiting || c.atLimit(j) {
		return 0
	}
	if j.startMark == markNone {
		j.startMark = markRequested
		c.markDirty(j)
	}
	return 1
}

// StartsSoon reports whether a job that was admitted and hasn't arrived at this dispatcher yet may be marked as it is stored, because fewer than
// maxMarkedWaiting jobs of its service wait.
func (c *Core) StartsSoon(id string) bool {
	a, found := c.admission.admitted[id]
	return found && c.jobs[id] == nil && !c.endedJobs[id] && c.markedWaiting[a.service] < maxMarkedWaiting
}

// atLimit reports whether the limit of its workspace keeps a job from starting any task.
func (c *Core) atLimit(j *job) bool {
	usage, limit := c.usage[j.sub.Workspace], c.limits[j.sub.Workspace]
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.doneCount < len(s.tasks) && s.ready() && usage.Add(s.spec.Need).Within(limit) {
				return false
			}
		}
	}
	return true
}
