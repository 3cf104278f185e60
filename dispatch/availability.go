package dispatch

import "time"

// servingPercent is the progress that a long-running task reports while it is serving.
const servingPercent = 100

// maxServingReportAge is the greatest age of a report that shows a task as serving. A renewal waits up to a second for a run to end.
const maxServingReportAge = 1500 * time.Millisecond

// Load returns the number of a server's runs, without long-running ones.
func (c *Core) Load(server string) int {
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

// LongRunning returns the number of long-running tasks on a server.
func (c *Core) LongRunning(server string) int {
	if s := c.servers[server]; s != nil {
		return len(s.runs) - c.Load(server)
	}
	return 0
}

// MayEnd reports whether all runs of a server may end now: no long-running step would then have more unavailable
// tasks than its budget allows.
func (c *Core) MayEnd(server string) bool {
	s := c.servers[server]
	if s == nil {
		return true
	}
	if s.recorded && !s.reconciled {
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
		if !c.mayInterrupt(st, s, n) {
			return false
		}
	}
	return true
}

// mayInterrupt reports whether the n tasks of a long-running step that run on a server may end at once.
func (c *Core) mayInterrupt(st *step, s *server, n int) bool {
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

// Evacuate stops one task of each long-running step that has more tasks on the server than may end at once, so that they move to other servers one
// after another. The server must be cordoned.
func (c *Core) Evacuate(server string) {
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
			c.stop(runs[0])
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

// Ending records that the upkeep or the move of a server's machine is being ordered, so that its tasks count as unavailable.
func (c *Core) Ending(server string) {
	if s := c.servers[server]; s != nil {
		s.cordoned, s.terminating = true, true
	}
}

// ServerTerminated records that a server has ended with all that ran on it.
func (c *Core) ServerTerminated(server string) {
	if s := c.servers[server]; s != nil {
		c.serverTerminated(s)
	}
}
