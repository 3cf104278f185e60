package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// settleTime is how long after the last fault a job may take that was accepted before. The silence of a server is resolved after 10 s, and leases
	// and the grace of a dispatcher that is cut off take as long.
	settleTime = 45 * time.Second
	// cancelTime is how long after its acknowledgement a cancelling takes effect at the latest, also while nodes and servers are cut off.
	cancelTime = 12 * time.Second
	// crashesToGiveUp is the number of crashed servers from which on a task may be given up, by the users' pages.
	crashesToGiveUp = 2
	pollInterval    = 200 * time.Millisecond
)

// checkEnds waits until all accepted jobs have ended as they should, and records a violation for each that doesn't.
func (w *world) checkEnds(l *load) {
	c := newCaller(w, rand.New(rand.NewPCG(l.seed, 3)))
	open := map[string]submission{}
	for _, s := range l.submissions() {
		if !s.acceptedAt.IsZero() && !s.cancelled {
			open[s.id] = s
		}
	}
	states := map[string]string{}
	for end := time.Now().Add(settleTime); len(open) > 0 && time.Now().Before(end); time.Sleep(pollInterval) {
		spans := w.spansByTask()
		for id, s := range open {
			state := w.stateOf(c, s, spans)
			if states[id] = state; state == "" {
				delete(open, id)
			}
		}
	}
	for id, s := range open {
		w.violation("LOST %s (long-running: %v): %s", id, s.longRunning, states[id])
	}
}

// stateOf returns why a job isn't as it should be after the faults, or an empty string.
func (w *world) stateOf(c *caller, s submission, spans map[string][]span) string {
	status, body := c.call(http.MethodGet, s.id, nil)
	if status == noAnswer || status == http.StatusServiceUnavailable {
		c.changeNode()
		return "no answer"
	}
	var answer struct {
		Phase string `json:"phase"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return fmt.Sprintf("status %d", status)
	}
	crashes, missing := 0, 0
	for _, task := range s.tasks() {
		runs, done, n := false, false, 0
		for _, sp := range spans[task] {
			runs = runs || sp.to.IsZero()
			done = done || sp.how == "done"
			if sp.how == "crashed" {
				n++
			}
		}
		crashes = max(crashes, n)
		if s.longRunning && !runs || !s.longRunning && !done {
			missing++
		}
	}
	switch {
	case answer.Phase == "failed" && crashes >= crashesToGiveUp:
		return ""
	case s.longRunning && missing == 0, !s.longRunning && answer.Phase == "complete" && missing == 0:
		return ""
	}
	return fmt.Sprintf("it is %s, and %d of %d tasks don't run or aren't done", answer.Phase, missing, len(s.tasks()))
}

// tasks returns the names of a job's tasks.
func (s submission) tasks() []string {
	var all []string
	for i, step := range s.steps {
		for k := range step.Count {
			all = append(all, fmt.Sprintf("%s.0.%d.%d", s.id, i, k))
		}
	}
	return all
}

// spansByTask returns all runs by their task, in the order of their starts.
func (w *world) spansByTask() map[string][]span {
	all := map[string][]span{}
	for _, s := range w.servers {
		for _, sp := range s.copySpans() {
			all[sp.task] = append(all[sp.task], sp)
		}
	}
	for _, spans := range all {
		slices.SortFunc(spans, func(a, b span) int { return a.from.Compare(b.from) })
	}
	return all
}

// checkRuns checks the recorded runs against the users' rules.
func (w *world) checkRuns(l *load) {
	spans := w.spansByTask()
	byID := map[string]submission{}
	for _, s := range l.submissions() {
		byID[s.id] = s
	}
	for task, runs := range spans {
		w.checkTwice(task, runs)
		id, _, _ := strings.Cut(task, ".")
		s, submitted := byID[id]
		if !submitted {
			w.violation("UNASKED %s", task)
			continue
		}
		if s.rejected {
			w.violation("REFUSED %s has started, and each try to submit the job was rejected", task)
		}
		step, _ := w.stepOf(task)
		for _, r := range runs {
			if !s.cancelledAt.IsZero() && r.from.After(s.cancelledAt.Add(cancelTime)) {
				w.violation("UNASKED %s starts %v after the cancelling was acknowledged", task, r.from.Sub(s.cancelledAt))
			}
			w.checkOrder(s, step, r, spans)
		}
	}
}

// checkTwice checks that the runs of a task don't overlap, and that none follows an acknowledged end as done.
func (w *world) checkTwice(task string, runs []span) {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.to.IsZero() || a.to.After(b.from) {
				w.violation("TWICE %s runs on %s from %v, and starts on %s at %v", task, a.server, a.from.Sub(w.begun), b.server, b.from.Sub(w.begun))
			}
			if a.how == "done" && a.acknowledged {
				w.violation("TWICE %s was done on %s at %v, and starts on %s at %v", task, a.server, a.to.Sub(w.begun), b.server, b.from.Sub(w.begun))
			}
		}
	}
}

// checkOrder checks that all tasks of the preceding steps were done when a run started.
func (w *world) checkOrder(s submission, step stepSpec, r span, spans map[string][]span) {
	for _, before := range step.After {
		for k := range s.steps[before].Count {
			task := fmt.Sprintf("%s.0.%d.%d", s.id, before, k)
			if !slices.ContainsFunc(spans[task], func(sp span) bool { return sp.how == "done" && !sp.to.After(r.from) }) {
				w.violation("ORDER %s starts before %s is done", r.task, task)
			}
		}
	}
}
