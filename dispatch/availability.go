package dispatch

import "time"

// atWork is the percent of a long-running task that serves.
const atWork = 100

// reportAge is how old a report may be to say that a task is at work: a renewal waits a second for an end.
const reportAge = 1500 * time.Millisecond

// Load returns how many runs a server has, without long-running ones.
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

// LongRunning returns how many long-running tasks a server runs.
func (c *Core) LongRunning(server string) int {
	if s := c.servers[server]; s != nil {
		return len(s.runs) - c.Load(server)
	}
	return 0
}

// MayEnd reports whether all runs of a server may end now: no long-running step loses a task while as many others of it are away as
// its budget allows.
func (c *Core) MayEnd(server string) bool {
	s := c.servers[server]
	if s == nil {
		return true
	}
	if s.recorded && !s.swept {
		return false // a former dispatcher may have started tasks there
	}
	if s.taken < s.seen {
		return false // its ends aren't stored, so only it can tell a successor of them
	}
	here := map[*step]int{}
	for _, r := range s.runs {
		if r.task.step.spec.LongRunning {
			here[r.task.step]++
		}
	}
	for st, n := range here {
		if !c.mayLose(st, s, n) {
			return false
		}
	}
	return true
}

// mayLose reports whether n tasks of a long-running step that run on a server may end at once.
func (c *Core) mayLose(st *step, s *server, n int) bool {
	if st.occurrence.job.cancelled {
		return true
	}
	away := 0
	for _, t := range st.tasks {
		if !c.atWork(t) && (t.run == nil || t.run.server != s) {
			away++
		}
	}
	return away+n-1 < max(st.spec.MissBudget, 1)
}

// Evacuate stops one task of each long-running step that has more tasks on a cordoned server than may end at once, so that they move
// to other servers one after another.
func (c *Core) Evacuate(server string) {
	s := c.servers[server]
	if s == nil {
		return
	}
	here := map[*step][]*run{}
	for _, r := range s.runs {
		if r.task.step.spec.LongRunning {
			here[r.task.step] = append(here[r.task.step], r)
		}
	}
	for st, runs := range here {
		if len(runs) > max(st.spec.MissBudget, 1) && c.mayLoseOne(runs[0]) && runs[0].state == runActive {
			c.stop(runs[0])
		}
	}
}

// mayLoseOne reports whether one run of a long-running step may end now.
func (c *Core) mayLoseOne(r *run) bool {
	st := r.task.step
	if st.occurrence.job.cancelled {
		return true
	}
	away := 0
	for _, t := range st.tasks {
		if t != r.task && !c.atWork(t) {
			away++
		}
	}
	return away < max(st.spec.MissBudget, 1)
}

// atWork reports whether a long-running task serves, by a report that is young enough.
func (c *Core) atWork(t *task) bool {
	r := t.run
	return r != nil && r.state == runActive && r.percent >= atWork && !r.server.ending && !r.server.silent && c.now-r.server.recvAt < reportAge
}

// Cordon keeps new work away from a server, or lets it come again.
func (c *Core) Cordon(server string, on bool) {
	if s := c.servers[server]; s != nil {
		s.cordoned = on
		if !on {
			s.ending = false
		}
	}
}

// SetReleased takes the servers that get no new work, so that their machines can move once they are empty. All others may have work again.
func (c *Core) SetReleased(servers map[string]bool) {
	for id, s := range c.servers {
		s.released = servers[id]
	}
}

// SetUpkeepDue takes the servers whose machines have an upkeep before them.
func (c *Core) SetUpkeepDue(servers map[string]bool) { c.dueUpkeep = servers }

// Ending notes that a server's machine is ordered away, so that its tasks count as away.
func (c *Core) Ending(server string) {
	if s := c.servers[server]; s != nil {
		s.cordoned, s.ending = true, true
	}
}

// ServerTerminated notes that a server has ended with all that ran on it.
func (c *Core) ServerTerminated(server string) {
	if s := c.servers[server]; s != nil {
		c.serverGone(s)
	}
}
