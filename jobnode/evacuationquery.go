package jobnode

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/evacuation"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/operatorapi"
)

// evacuations answers an operator's query for the evacuated data centres and what they leave, with those that the query names as if they were evacuated too.
func (d *dispatcher) evacuations(args []byte) (any, error) {
	var query operatorapi.EvacuationQuery
	if len(args) > 0 {
		if err := json.Unmarshal(args, &query); err != nil {
			return nil, errkind.Wrap(errkind.BadRequest, err)
		}
	}
	view, now := d.operators.evacuationView(), boottime.Now()
	state := view.State
	for _, name := range query.DataCentres {
		state = state.Request(name)
	}
	answer := operatorapi.Evacuations{
		DataCentres: []operatorapi.EvacuatedDataCentre{}, Services: []operatorapi.RemainingCapacity{},
		ViewAgeS: (now - view.ConfirmedAt).Seconds(), StartsHeld: d.operators.evacuate.Outdated(view, now),
	}
	var demands map[string]dispatch.Demand
	d.update(func(c *dispatch.Core) {
		demands = c.Demands()
		for _, name := range state.DataCentres() {
			e := operatorapi.EvacuatedDataCentre{Name: name, InForce: view.State.Evacuated(name)}
			e.Servers, e.ShortTasks, e.LongRunning = c.TasksIn(name)
			answer.DataCentres = append(answer.DataCentres, e)
		}
	})
	if machines := d.machineList.Load(); machines != nil {
		answer.Services = remainingCapacity(*machines, state, demands, d.operators.view().config)
	}
	return answer, nil
}

// remainingCapacity returns what evacuations leave to each pool of machines.
func remainingCapacity(machines []jobs.Machine, state evacuation.State, demands map[string]dispatch.Demand, config *jobs.Configuration) []operatorapi.RemainingCapacity {
	byPool := map[string]*operatorapi.RemainingCapacity{}
	for _, m := range machines {
		r := byPool[m.Pool]
		if r == nil {
			r = &operatorapi.RemainingCapacity{Service: m.Pool, Spare: config.Services[m.Pool].Spare}
			byPool[m.Pool] = r
		}
		r.Machines++
		if !state.Evacuated(m.DataCentre) {
			r.Left++
		}
		r.Needed = max(r.Needed, demands[m.Pool].Need.DominantShare(m.Capacity)) // by the smallest machine
	}
	list := make([]operatorapi.RemainingCapacity, 0, len(byPool))
	for r := range maps.Values(byPool) {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b operatorapi.RemainingCapacity) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
