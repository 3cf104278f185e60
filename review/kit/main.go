// Command kit runs the cases of the independent review: it starts nodes of the product as separate processes, stands in for the platform, the
// backend servers and the callers, brings a disruption about, and checks a rule against what it has seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// runLimit ends a case that takes too long. A case may run for 120 s.
const runLimit = 115 * time.Second

// cases are the cases by name. Each returns a list of violations of its rule.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){
	"reborn":      caseReborn,
	"resurrected": caseResurrected,
	"checkpoints": caseCheckpoints,
	"gang-end":    caseGangEnd,
	"lasting":     caseLasting,
	"many-ends":   caseManyEnds,
}

func main() {
	recordPath := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	keep := flag.Duration("keep-finished", 0, "the setting keep_finished of the nodes; 0 leaves it out")
	limit := flag.Duration("limit", runLimit, "ends a case that takes longer")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "usage: kit [flags] CASE")
		os.Exit(exitFailed)
	}
	os.Exit(runCase(flag.Arg(0), *recordPath, *keep, *limit, os.Getenv("TROUBLE") != "0", run))
}

func runCase(name, recordPath string, keep, limit time.Duration, trouble bool, run func(f *fleet, trouble bool) ([]string, error)) int {
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	rec.add("case %s, trouble %v", name, trouble)
	f := newFleet(rec)
	f.keepFinished = keep
	defer f.close()
	type outcome struct {
		violations []string
		err        error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := run(f, trouble)
		done <- outcome{v, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(limit):
		o.err = fmt.Errorf("the case took longer than %s", limit)
	}
	switch {
	case o.err != nil:
		rec.add("RESULT: could not run: %v", o.err)
		return exitFailed
	case len(o.violations) > 0:
		for _, v := range o.violations {
			rec.add("VIOLATION: %s", v)
		}
		rec.add("RESULT: the rule was broken")
		return exitBroken
	}
	rec.add("RESULT: the rule held")
	return exitHeld
}
