package dispatch

import (
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
)

// submit submits a job of the workspace w.
func (sim *simulation) submit(id string, steps ...jobs.Step) { sim.submitFor("w", id, steps...) }

func (sim *simulation) submitFor(workspace, id string, steps ...jobs.Step) {
	s := jobs.Submission{
		ID: id, Route: "q", Service: "pool", Workspace: workspace, MaxAttempts: 3, SlackFactor: 1.6, TargetMS: 600, ReceivedMS: sim.wall(),
		Spec: jobs.Spec{Text: "x", Steps: steps},
	}
	sim.specs[id] = s
	for i, step := range steps {
		for k := range step.Count {
			sim.steps[jobs.TaskID{Job: id, Step: i, Index: k}.String()] = step
		}
	}
	sim.core.Advance(sim.now, sim.wall(), true)
	sim.apply([]ledger.Record{ledger.SubmissionRecord(s)})
}

func (sim *simulation) cancel(id string) {
	sim.core.Advance(sim.now, sim.wall(), true)
	sim.apply([]ledger.Record{ledger.CancelRecord(id)})
}
