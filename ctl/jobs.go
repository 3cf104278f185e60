package ctl

import (
	"fmt"

	"example.org/comfreyrouter/interference"
	"example.org/comfreyrouter/operatorapi"
)

// dispatcherStatus shows the dispatcher of the jobs subsystem and the load of each service.
func dispatcherStatus(s *session, _ []string) error {
	var d operatorapi.DispatcherStatus
	if err := s.get(path("jobs", "dispatcher"), &d); err != nil {
		return err
	}
	rows := [][]string{
		cells("node", d.Node), cells("epoch", d.Epoch), cells("servers", d.Servers), cells("runs", d.Runs),
		cells("long-running jobs", d.Jobs.LongRunning), cells("started jobs", d.Jobs.Started), cells("waiting jobs on time", d.Jobs.OnTime),
		cells("waiting jobs over their share", d.Jobs.OverShare), cells("late jobs", d.Jobs.Late),
	}
	for _, v := range d.Services {
		rows = append(rows, cells("service "+v.Name, fmt.Sprintf("%.1f servers, %.1f free, %.1f arriving, backlog %.1f s, late %.1f s",
			v.Servers, v.FreeServers, v.Arriving, v.BacklogS, v.LateS)))
	}
	return s.print(d, []string{"FIELD", "VALUE"}, rows)
}

// interferenceList lists the pairs of images whose tasks slow each other down.
func interferenceList(s *session, _ []string) error {
	var pairs []interference.Pair
	if err := s.get(path("jobs", "interference"), &pairs); err != nil {
		return err
	}
	return s.print(pairs, []string{"IMAGE", "BESIDE", "FACTOR", "SAMPLES"}, rowsOf(pairs, func(p interference.Pair) []string {
		return cells(p.Image, p.Beside, fmt.Sprintf("%.2f", p.Factor), p.Samples)
	}))
}
