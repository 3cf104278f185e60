package dispatch

import (
	"slices"
	"time"

	"example.org/comfreyrouter/evacuation"
	"example.org/comfreyrouter/jobs"
)

// evacuations is what the dispatcher knows of operators' requests to evacuate data centres.
type evacuations struct {
	state       evacuation.State
	held        bool          // the requests aren't known well enough, so no task may start
	relocatedAt time.Duration // when long-running tasks of evacuated data centres were last looked for
}

// SetEvacuated sets which data centres are evacuated or returning. If held, the operators' requests aren't known well enough, and no task starts anywhere.
func (c *Core) SetEvacuated(state evacuation.State, held bool) {
	c.evacuation.state, c.evacuation.held = state, held
}

// Evacuated reports whether a data centre is evacuated.
func (c *Core) Evacuated(dataCentre string) bool { return c.evacuation.state.Evacuated(dataCentre) }

// EvacuatedWithoutServers returns the evacuated data centres in which no server is known, once the platform's server list has been read.
func (c *Core) EvacuatedWithoutServers() []string {
	if !c.serverListComplete {
		return nil
	}
	known := map[string]bool{}
	for _, s := range c.servers {
		known[s.info.DataCentre] = true
	}
	return slices.DeleteFunc(c.evacuation.state.DataCentres(), func(name string) bool { return known[name] })
}

// withheld reports whether a server gets no new work because its data centre is evacuated or returning.
func (c *Core) withheld(s *server) bool {
	return c.evacuation.state.Withheld(s.info.DataCentre, s.info.ID, jobs.Milliseconds(s.info.WarmUpMS), c.now)
}

// relocationInterval is the minimum time between two looks for long-running tasks to relocate. They are stopped one after another, and each takes about a
// second to serve again.
const relocationInterval = 100 * time.Millisecond

// relocationHandover is how long a new dispatcher relocates nothing. A stop that its predecessor has sent may be under way for 0.7 s, and the task is
// reported as serving while it is being stopped.
const relocationHandover = 2 * time.Second

// RelocateEvacuated stops long-running tasks in evacuated data centres for which there is a place elsewhere, so that they start there, as far as the miss
// budgets of their steps allow. Gangs stay, because all of their members would end. It does nothing unless this dispatcher is certainly the only one, and
// has been for a while, because two of them would each use the whole budget.
func (c *Core) RelocateEvacuated() {
	if c.evacuation.held || !c.soleDispatcher || c.now < c.admission.startedAt+relocationHandover {
		return
	}
	if len(c.evacuation.state.DataCentres()) == 0 || c.now < c.evacuation.relocatedAt+relocationInterval {
		return
	}
	c.evacuation.relocatedAt = c.now
	for _, s := range c.servers {
		if !c.Evacuated(s.info.DataCentre) || !s.listed || !s.reconciled || s.storedEnd < s.lastEnd {
			continue
		}
		for _, r := range s.runs {
			st := r.task.step
			if st.spec.LongRunning && !st.spec.Gang && r.state == runActive && c.mayInterruptOne(r) && c.hasPlace(r.task) {
				c.count("task_relocated")
				c.relocate(r)
			}
		}
	}
}

// hasPlace reports whether a schedulable server has a place for a task.
func (c *Core) hasPlace(t *task) bool {
	service := c.serviceOf(t.step.occurrence.job)
	for _, s := range c.servers {
		if s.info.Service == service && c.schedulable(s) && t.step.spec.Allocation().Fits(s.info.Capacity.Sub(s.used)) && c.permitted(t, s) && t.step.remainingPlaces(s) > 0 {
			return true
		}
	}
	return false
}

// TasksIn returns the number of servers that are known in a data centre, and of the tasks there.
func (c *Core) TasksIn(dataCentre string) (servers, shortTasks, longRunning int) {
	for id, s := range c.servers {
		if s.info.DataCentre == dataCentre {
			servers++
			shortTasks += c.ShortTaskCount(id)
			longRunning += c.LongRunningTaskCount(id)
		}
	}
	return servers, shortTasks, longRunning
}
