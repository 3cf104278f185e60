package dispatch

import "example.org/comfreyrouter/jobs"

// checkStart checks a start against the users' rules.
func (sim *simulation) checkStart(s *fakeServer, o jobs.Order) {
	task, step := o.Task.String(), sim.steps[o.Task.String()]
	for id, other := range sim.servers {
		if other.up && other.runs[task] != nil {
			sim.violation("TWICE %s runs on %s and starts on %s", task, id, s.info.ID)
		}
	}
	if sim.done[task] {
		sim.violation("TWICE %s was done and starts on %s", task, s.info.ID)
	}
	if sim.failedRuns[task] >= sim.specs[o.Task.Job].MaxAttempts && !step.LongRunning {
		sim.violation("BUDGET %s failed %d times and starts", task, sim.failedRuns[task])
	}
	if !s.used(sim.steps).Add(step.Allocation()).Fits(s.info.Capacity) {
		sim.violation("LIMIT %s doesn't fit on %s", task, s.info.ID)
	}
	for _, before := range step.After {
		for k := range sim.specs[o.Task.Job].Spec.Steps[before].Count {
			if !sim.listedDone[jobs.TaskID{Job: o.Task.Job, Step: before, Index: k}.String()] {
				sim.violation("ORDER %s starts before step %d is done", task, before)
			}
		}
	}
	sim.checkSpread(s, o, step)
	sim.checkLimit(o, step)
}

func (sim *simulation) checkSpread(s *fakeServer, o jobs.Order, step jobs.Step) {
	if step.MaxPerServer == 0 {
		return
	}
	n := 0
	for other := range s.runs {
		if id, ok := jobs.ParseTaskID(other); ok && id.Job == o.Task.Job && id.Step == o.Task.Step {
			n++
		}
	}
	if n >= step.MaxPerServer {
		sim.violation("ROUTE %s starts beside %d of its step", o.Task, n)
	}
}

// usage returns what the runs of a workspace need.
func (sim *simulation) usage(workspace string) jobs.Resources {
	var total jobs.Resources
	for _, s := range sim.servers {
		for task := range s.runs {
			if id, ok := jobs.ParseTaskID(task); ok && s.up && sim.specs[id.Job].Workspace == workspace {
				total = total.Add(sim.steps[task].Need)
			}
		}
	}
	return total
}

func (sim *simulation) checkLimit(o jobs.Order, step jobs.Step) {
	ws := sim.specs[o.Task.Job].Workspace
	total := sim.usage(ws).Add(step.Need)
	// The rule allows an excess of a tenth of the limit plus one task.
	for _, workspace := range sim.config.Workspaces {
		limit := workspace.Limit
		if workspace.Name == ws && limit.CPU > 0 && total.CPU > limit.CPU+limit.CPU/10+step.Need.CPU {
			sim.violation("QUOTA %s brings %s to %d of %d", o.Task, ws, total.CPU, limit.CPU)
		}
	}
}
