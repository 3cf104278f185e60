package dispatch

import "time"

// servingPercent is the progress that a long-running task reports while it is serving.
const servingPercent = 100

// maxServingReportAge is the greatest age of a report that shows a task as serving. A renewal waits up to a second for a run to end.
const maxServingReportAge = 1500 * time.Millisecond

// ShortTaskCount returns the number of tasks that run on a server, without long-running ones.
func (c *Core) ShortTaskCount(server string) int {
	s := c.servers[server]
	if s == nil {
		return 0
	}
	n := 0
	for _, r := range s.runs {
		if !r.task.step.spec.LongRunning {
			n++
		}
	}
	return n
}

// LongRunningTaskCount returns the number of long-running tasks on a server.
func (c *Core) LongRunningTaskCount(server string) int {
	if s := c.servers[server]; s != nil {
		return len(s.runs) - c.ShortTaskCount(server)
	}
	return 0
}

// MayTerminate reports whether a server may be terminated with all of its runs: no long-running step would then have more unavailable tasks than its
// budget allows, and all runs that ended there are known and stored.
func (c *Core) MayTerminate(server string) bool {
	s := c.servers[server]
	if s == nil {
		return true
	}
	if s.awaited() {
		return false // a predecessor may have started tasks there
	}
	if s.storedEnd < s.lastEnd {
		return false // its ends aren't stored, so a successor could learn of them only from this server
	}
	byStep := map[*step]int{}
	for _, r := range s.runs {
		if r.task.step.spec.LongRunning {
			byStep[r.task.step]++
		}
	}
	for st, n := range byStep {
		if !c.mayInterruptAll(st, s, n) {
			return false
		}
	}
	return true
}

// mayInterruptAll reports whether all n tasks of a long-running step that run on a server may end at once.
func (c *Core) mayInterruptAll(st *step, s *server, n int) bool {
	if st.occurrence.job.cancelled {
		return true
	}
	unavailable := 0
	for _, t := range st.tasks {
		if !c.serving(t) && (t.run == nil || t.run.server != s) {
			unavailable++
		}
	}
	return unavailable+n-1 < max(st.spec.MissBudget, 1)
}

// RelocateExcessTasks stops one task of each long-running step that has more tasks on a server than may end at once, so that they start on other
// servers one after another. It does so only while the step's budget allows one more task to be unavailable. The server must be cordoned.
func (c *Core) RelocateExcessTasks(server string) {
	s := c.servers[server]
	if s == nil {
		return
	}
	byStep := map[*step][]*run{}
	for _, r := range s.runs {
		if r.task.step.spec.LongRunning {
			byStep[r.task.step] = append(byStep[r.task.step], r)
		}
	}
	for st, runs := range byStep {
		if len(runs) > max(st.spec.MissBudget, 1) && c.mayInterruptOne(runs[0]) && runs[0].state == runActive {
			c.relocate(runs[0])
		}
	}
}

// mayInterruptOne reports whether one run of a long-running step may end now.
func (c *Core) mayInterruptOne(r *run) bool {
	st := r.task.step
	if st.occurrence.job.cancelled {
		return true
	}
	unavailable := 0
	for _, t := range st.tasks {
		if t != r.task && !c.serving(t) {
			unavailable++
		}
	}
	return unavailable < max(st.spec.MissBudget, 1)
}

// serving reports whether a recent report shows a long-running task as serving.
func (c *Core) serving(t *task) bool {
	r := t.run
	return r != nil && r.state == runActive && r.percent >= servingPercent && !r.server.terminating && !r.server.unresponsive && c.now-r.server.recvAt < maxServingReportAge
}

// Cordon sets whether a server is kept free of new work.
func (c *Core) Cordon(server string, on bool) {
	if s := c.servers[server]; s != nil {
		s.cordoned = on
		if !on {
			s.terminating = false
		}
	}
}

// SetReleased sets the servers that get no new work, so that their machines can move to another pool once they are empty. All others may get work
// again.
func (c *Core) SetReleased(servers map[string]bool) {
	for id, s := range c.servers {
		s.released = servers[id]
	}
}

// SetUpkeepDue sets the servers whose machines are due for upkeep.
func (c *Core) SetUpkeepDue(servers map[string]bool) { c.upkeepDue = servers }

// MarkTerminating records that the upkeep or the move of a server's machine is being ordered, so that its tasks count as unavailable.
func (c *Core) MarkTerminating(server string) {
	if s := c.servers[server]; s != nil {
		s.cordoned, s.terminating = true, true
	}
}

// MarkUnsent records that the order for a server's machine, which MarkTerminating announced, wasn't sent. The server stays cordoned.
func (c *Core) MarkUnsent(server string) {
	if s := c.servers[server]; s != nil {
		s.terminating = false
	}
}

// MayMove reports whether the machine of a server may move to another pool: nothing runs there.
func (c *Core) MayMove(server string) bool {
	s := c.servers[server]
	return s == nil || len(s.runs) == 0 && c.MayTerminate(server)
}

// mayStopAgain reports whether the stop of a run that is listed may be sent again. The tasks of its step may have become unavailable since the stop was
// decided, so a long-running task that is serving must be allowed to end now.
func (c *Core) mayStopAgain(r *run) bool {
	st, j := r.task.step, r.task.step.occurrence.job
	return !st.spec.LongRunning || st.spec.Gang || j.cancelled || j.failed || r.percent < servingPercent || c.mayInterruptOne(r)
}

// MaySendStop reports whether a stop that was decided may be sent now. If it may not, the run goes on as if the stop hadn't been decided.
func (c *Core) MaySendStop(server, task string, attempt int64) bool {
	r := c.findRun(server, task, attempt)
	if r == nil || !r.relocating || c.soleDispatcher && c.mayInterruptOne(r) {
		return true
	}
	c.count("relocation_not_sent")
	r.relocating = false
	if r.state == runStopping {
		r.state, r.stopSent = runActive, false
	}
	return false
}

// relocate stops a long-running task that is serving, so that it starts on another server.
func (c *Core) relocate(r *run) {
	r.relocating = true
	c.stop(r)
}

// ServerTerminated records that a server has been terminated, which ended all of its runs.
func (c *Core) ServerTerminated(server string) {
	if s := c.servers[server]; s != nil {
		c.serverTerminated(s)
	}
}
