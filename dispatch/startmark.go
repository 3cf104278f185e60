package dispatch

// maxMarkedWaiting is the number of jobs of a service that may wait for capacity with a stored start mark, which says that their tasks may have been
// started. Unmarked jobs certainly have no runs, so a new dispatcher can start them without waiting for unresponsive servers; marked jobs can start
// while the store is unavailable. At the largest load a pool starts about this many jobs in a tenth of a second.
const maxMarkedWaiting = 32

// markState says how far the storing of a job's start mark has got.
type markState int

const (
	markNone markState = iota
	markRequested
	markSent
	markStored
)

// requestMark requests the start mark of a job if fewer than maxMarkedWaiting marked jobs wait before it and its workspace isn't at its limit. It
// returns by how much the job raises the number of marked jobs: 1 or 0.
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

// StartsSoon reports whether an admitted job is likely to start as soon as it is stored, so that its start mark should be stored with it: the job
// hasn't arrived at this dispatcher yet, and fewer than maxMarkedWaiting marked jobs of its service wait.
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
