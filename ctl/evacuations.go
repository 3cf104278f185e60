package ctl

import (
	"flag"
	"fmt"
	"net/http"

	"example.org/comfreyrouter/operatorapi"
)

func evacuationFlags(f *flag.FlagSet, o *options) {
	f.BoolVar(&o.dryRun, "dry-run", false, "show what would be left if the named data centres were evacuated too")
}

// evacuations lists the evacuated data centres and what they leave to each service. With -dry-run it counts the named data centres as evacuated too, and
// changes nothing.
func evacuations(s *session, args []string) error {
	if len(args) > 0 != s.options.dryRun {
		return usageErrorf("give data centres with -dry-run, and none without")
	}
	var e operatorapi.Evacuations
	if err := s.call(http.MethodPost, path("jobs", "evacuations"), operatorapi.EvacuationQuery{DataCentres: args}, &e); err != nil {
		return err
	}
	rows := [][]string{}
	for _, v := range e.DataCentres {
		force := "in force"
		if !v.InForce {
			force = "dry run"
		}
		if v.Servers == 0 {
			force += ", has no server"
		}
		rows = append(rows, cells("data centre "+v.Name, fmt.Sprintf("%s: %d servers, %d short tasks, %d long-running tasks", force, v.Servers, v.ShortTasks, v.LongRunning)))
	}
	for _, v := range e.Services {
		kind, warning := "service ", ""
		if v.Spare {
			kind = "spare pool "
		}
		if v.Needed > float64(v.Left) {
			warning = ", TOO FEW"
		}
		rows = append(rows, cells(kind+v.Service, fmt.Sprintf("%d of %d machines left, %.1f needed now%s", v.Left, v.Machines, v.Needed, warning)))
	}
	rows = append(rows, cells("age of the view", fmt.Sprintf("%.1f s", e.ViewAgeS)))
	if e.StartsHeld {
		rows = append(rows, cells("starts", "held: the operators' records can't be read"))
	}
	return s.print(e, []string{"FIELD", "VALUE"}, rows)
}
