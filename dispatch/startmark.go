package dispatch

// markAhead is how many jobs of a service may wait for room while it is stored that they may have been started. Jobs behind them are known
// not to have run, so a new dispatcher need not wait for servers that don't answer before it starts them; those ahead can start while the
// store is away. A pool starts about as many jobs in a tenth of a second at the largest load.
const markAhead = 32

// markState says whether it is stored that tasks of a job may have been started.
type markState int

const (
	markNone markState = iota
	markWanted
	markSent
	markStored
)

// wantMark asks that a job is marked if fewer than markAhead jobs wait before it, and returns how many places it takes.
func (c *Core) wantMark(j *job, before int) int {
	if before >= markAhead || c.atLimit(j) {
		return 0
	}
	if j.mark == markNone {
		j.mark = markWanted
		c.markDirty(j)
	}
	return 1
}

// StartsSoon reports whether a job that was admitted, and hasn't come to this dispatcher yet, may be marked when it is stored, because fewer than
// markAhead jobs of its service wait.
func (c *Core) StartsSoon(id string) bool {
	a, there := c.admission.admitted[id]
	return there && c.jobs[id] == nil && !c.ended[id] && c.ahead[a.service] < markAhead
}

// atLimit reports whether the upper limit of its workspace keeps a job from starting any task.
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
