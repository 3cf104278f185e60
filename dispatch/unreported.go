package dispatch

import "example.org/comfreyrouter/jobs"

// awaitedServers describes the awaited servers of a service.
type awaitedServers struct {
	capacity jobs.Resources
	unlisted bool // the capacity of one of them isn't known
}

// updateAwaited determines the services with awaited servers.
func (c *Core) updateAwaited() {
	clear(c.awaited)
	for _, s := range c.servers {
		if !s.awaited() {
			continue
		}
		a := c.awaited[s.info.Service]
		a.capacity = a.capacity.Add(s.info.Capacity)
		a.unlisted = a.unlisted || s.info.Capacity == (jobs.Resources{})
		c.awaited[s.info.Service] = a
	}
}

// awaitedServices returns the services on whose awaited servers tasks of a job may run. One may be the service that the job's queue had when the job was
// submitted.
func (c *Core) awaitedServices(j *job) []string {
	if !j.inherited || len(c.awaited) == 0 {
		return nil
	}
	var services []string
	current := c.serviceOf(j)
	if _, found := c.awaited[current]; found {
		services = append(services, current)
	}
	if _, found := c.awaited[j.sub.Service]; found && j.sub.Service != current {
		services = append(services, j.sub.Service)
	}
	return services
}

// awaits reports whether tasks of a job may run on an awaited server.
func (c *Core) awaits(j *job) bool { return len(c.awaitedServices(j)) > 0 }

// mayRunUnreported reports whether tasks of a job may run on an awaited server and count towards a limit.
func (c *Core) mayRunUnreported(j *job) bool {
	return c.limits[j.sub.Workspace] != (jobs.Resources{}) && c.awaits(j)
}

// workspaceUsage returns what counts towards the limit of a workspace: its runs, and its tasks that may run on awaited servers.
func (c *Core) workspaceUsage(workspace string) jobs.Resources {
	return c.usage[workspace].Add(c.unreportedUsage[workspace])
}

// unreportedTasks adds up what tasks that may run on awaited servers need there.
type unreportedTasks struct{ need, allocation jobs.Resources }

// on returns the needs of the tasks that may run on awaited servers at once.
func (u unreportedTasks) on(a awaitedServers) jobs.Resources {
	if a.unlisted {
		return u.need
	}
	return u.need.Sub(u.allocation.Over(a.capacity))
}

// updateUnreportedUsage determines the usage of workspaces with a limit on awaited servers. It may be less in fact, as tasks that wait can't be told from
// those that run there.
func (c *Core) updateUnreportedUsage() {
	clear(c.unreportedUsage)
	type place struct{ workspace, service string }
	tasks := map[place]unreportedTasks{}
	for _, j := range c.jobs {
		if !c.mayRunUnreported(j) {
			continue
		}
		for _, service := range c.awaitedServices(j) {
			p := place{j.sub.Workspace, service}
			tasks[p] = j.addUnreported(tasks[p])
		}
	}
	for p, u := range tasks {
		c.unreportedUsage[p.workspace] = c.unreportedUsage[p.workspace].Add(u.on(c.awaited[p.service]))
	}
}

// addUnreported adds the tasks of a job that a predecessor may have started and of which no run is known.
func (j *job) addUnreported(u unreportedTasks) unreportedTasks {
	for _, o := range j.occurrences {
		begun := make([]bool, len(o.steps)) // whether a predecessor may have begun the step
		for i, s := range o.steps {
			begun[i] = true
			for _, before := range s.spec.After {
				begun[i] = begun[i] && begun[before] && o.steps[before].openRuns() == 0
			}
			if begun[i] {
				u.need = u.need.Add(s.spec.Need.Times(s.waiting))
				u.allocation = u.allocation.Add(s.spec.Allocation().Times(s.waiting))
			}
		}
	}
	return u
}

// openRuns returns the number of tasks of a step that have a run and aren't done.
func (s *step) openRuns() int { return len(s.tasks) - s.doneCount - s.waiting }
