package ctl

import (
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/operatorapi"
)

func explainFlags(f *flag.FlagSet, o *options) {
	f.StringVar(&o.file, "f", "", "`file` with the body of the job")
	f.StringVar(&o.key, "key", "", "the caller's `key`")
}

// explain shows what would happen to a call that submits a job.
func explain(s *session, args []string) error {
	if s.options.file == "" {
		return usageErrorf("explain needs -f")
	}
	body, err := os.ReadFile(s.options.file)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err)
	}
	var a operatorapi.ExplainAnswer
	query := operatorapi.ExplainQuery{Host: args[0], Path: args[1], Key: s.options.key, Body: body}
	if err := s.call(http.MethodPost, path("jobs", "explain"), query, &a); err != nil {
		return err
	}
	return s.print(a, []string{"FIELD", "VALUE"}, explainRows(a))
}

func explainRows(a operatorapi.ExplainAnswer) [][]string {
	rows := [][]string{cells("queue", orNone(a.Queue))}
	if a.Refused != "" {
		rows = append(rows, cells("refused", a.Message))
	}
	e := a.Job
	if e == nil {
		return rows
	}
	limit := "none"
	if e.Limit != (jobs.Resources{}) {
		limit = resources(e.Limit)
	}
	accepted := "yes"
	if a.Known {
		accepted = "yes, it is stored already"
	}
	if !e.Accepted {
		accepted = fmt.Sprintf("no: %s, Retry-After %.1f s", e.Reason, float64(e.RetryAfterMS)/1000)
	}
	rows = append(rows, cells("service", e.Service), cells("workspace", orNone(e.Workspace)), cells("limit", limit), cells("in use", resources(e.Usage)),
		cells("sends more than its share", e.OverShare), cells("uses more than its share", e.BeyondShare), cells("accepted", accepted),
		cells("wait expected", fmt.Sprintf("%.1f s", float64(e.WaitMS)/1000)), cells("class", e.Class), cells("waiting jobs before it", e.JobsBefore))
	if e.Held != "" {
		rows = append(rows, cells("held", e.Held))
	}
	for i, st := range e.Steps {
		rows = append(rows, cells(fmt.Sprintf("step %d", i), describeStep(st)))
	}
	if e.Cut {
		rows = append(rows, cells("left out", "some steps or tasks: the job is too large"))
	}
	return rows
}

func describeStep(st dispatch.ExplainedStep) string {
	parts := []string{fmt.Sprintf("%d tasks", st.Tasks)}
	if !st.Ready {
		parts = append(parts, "waits for other steps")
	}
	if st.AtLimit {
		parts = append(parts, "workspace at its limit")
	}
	for _, id := range slices.Sorted(maps.Keys(st.Starts)) {
		parts = append(parts, fmt.Sprintf("%d start on %s", st.Starts[id], id))
	}
	parts = append(parts, fmt.Sprintf("%d servers tried", st.Tried))
	for _, rule := range slices.Sorted(maps.Keys(st.Ruled)) {
		parts = append(parts, fmt.Sprintf("%d ruled out: %s", st.Ruled[rule], rule))
	}
	return strings.Join(parts, "; ")
}

func resources(r jobs.Resources) string {
	return fmt.Sprintf("%.1f processors, %d MB", float64(r.CPU)/1000, r.MemoryMB)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
