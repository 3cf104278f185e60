package ctl

import (
	"bufio"
	"flag"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"strings"

	"example.org/comfreyrouter/declare"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/operatorapi"
	"example.org/comfreyrouter/settings"
)

func applyFlags(f *flag.FlagSet, o *options) {
	f.StringVar(&o.by, "by", o.by, "`name` of the operator, for the history")
	f.StringVar(&o.dir, "f", "", "`directory` of declarations")
	f.BoolVar(&o.dryRun, "dry-run", false, "show the difference only")
	f.BoolVar(&o.yes, "yes", false, "publish without asking")
}

// applyResult is the JSON output of apply.
type applyResult struct {
	Changes []fleet.Change `json:"changes"`
	Applied bool           `json:"applied"`
	Version uint64         `json:"version"` // version in force afterwards
}

// apply shows the difference between the declarations and the configuration in force and, unless -dry-run is given, publishes
// exactly that difference. The change is conditional on the version that the difference was computed from: if another
// operator's change is accepted in between, the answer is a conflict, and the operator has to review the new difference.
func apply(s *session, _ []string) error {
	if s.options.dir == "" {
		return usageErrorf("apply needs -f DIR")
	}
	wanted, err := declare.Load(s.options.dir)
	if err != nil {
		return err
	}
	current, err := s.config()
	if err != nil {
		return err
	}
	result := applyResult{Changes: declare.Diff(current, wanted), Version: current.Version}
	s.showDifference(current, result.Changes)
	if len(result.Changes) > 0 && !s.options.dryRun {
		if err := s.confirm(); err != nil {
			return err
		}
		if err := s.publish(&result); err != nil {
			return err
		}
	}
	return s.showApplied(result)
}

func (s *session) showDifference(current *fleet.Config, changes []fleet.Change) {
	if s.options.output == "json" {
		return
	}
	for _, line := range declare.Render(current, changes) {
		fmt.Fprintln(s.terminal.Out, line)
	}
}

func (s *session) publish(result *applyResult) error {
	body := operatorapi.Apply{Guard: s.guard(result.Version), Changes: result.Changes}
	var accepted operatorapi.Accepted
	if err := s.call(http.MethodPost, "/v1/apply", body, &accepted); err != nil {
		return err
	}
	result.Applied = true
	result.Version = accepted.Version
	return nil
}

func (s *session) showApplied(result applyResult) error {
	if s.options.output == "json" {
		return s.print(result, nil, nil)
	}
	outcome := "no difference"
	switch {
	case result.Applied:
		outcome = "applied"
	case len(result.Changes) > 0:
		outcome = "not applied"
	}
	fmt.Fprintf(s.terminal.Out, "%s, %d changes, version %d is in force\n", outcome, len(result.Changes), result.Version)
	return nil
}

// confirm asks the operator for consent. Without an interactive terminal and without -yes it returns a usage error.
func (s *session) confirm() error {
	if s.options.yes {
		return nil
	}
	if !s.terminal.Interactive {
		return usageErrorf("nobody can be asked here: look at -dry-run, then give -yes")
	}
	fmt.Fprint(s.terminal.Err, "Publish these changes? [y/N] ")
	line, err := s.readLine()
	if err != nil {
		return errkind.New(errkind.Cancelled, "no answer: %s", err)
	}
	if answer := strings.ToLower(strings.TrimSpace(line)); answer != "y" && answer != "yes" {
		return errkind.New(errkind.Cancelled, "nothing was published")
	}
	return nil
}

// readLine reads one line of input. It returns early if the command is interrupted.
func (s *session) readLine() (string, error) {
	type answer struct {
		line string
		err  error
	}
	answers := make(chan answer, 1)
	go func() {
		line, err := bufio.NewReader(s.terminal.In).ReadString('\n')
		answers <- answer{line, err}
	}()
	select {
	case a := <-answers:
		return a.line, a.err
	case <-s.ctx.Done():
		return "", s.ctx.Err()
	}
}

// check validates a directory as declarations, or a file as the settings of an entry VM.
func check(s *session, args []string) error {
	info, err := os.Stat(args[0])
	if err != nil {
		return errkind.Wrap(errkind.NotFound, err)
	}
	if err := checkPath(args[0], info); err != nil {
		return err
	}
	fmt.Fprintf(s.terminal.Out, "%s: ok\n", args[0])
	return nil
}

func checkPath(name string, info fs.FileInfo) error {
	if info.IsDir() {
		_, err := declare.Load(name)
		return err
	}
	_, err := settings.Load(name)
	return err
}
