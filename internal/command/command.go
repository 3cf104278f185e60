// Package command implements the subcommands of comfreyrouter.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/daemon"
	"example.org/comfreyrouter/declare"
	"example.org/comfreyrouter/dev"
	"example.org/comfreyrouter/settings"
)

// Exit codes of the process.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

const usage = `Usage: comfreyrouter COMMAND [flags]

Commands:
  entry -settings FILE       run an entry VM
  node [-settings FILE]      run a node that takes jobs, on the users' platform
  check PATH...              check settings files and directories of declarations
  dev [-requests N]          run a whole trial fleet in this process
  standin platform           run the stand-in of the platform (tests and trials only)
  standin backend-server     run the stand-in of a backend server (tests and trials only)

Run "comfreyrouter COMMAND -h" for the flags of a command.
`

// command runs one subcommand.
type command func(ctx context.Context, args []string, out, errOut io.Writer) error

// errUsage reports a usage error whose message has already been printed.
var errUsage = errors.New("usage")

// Run runs the subcommand that args name and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	commands := map[string]command{"entry": runEntry, "node": runNode, "check": runCheck, "dev": runDev, "standin": runStandin}
	if len(args) == 0 {
		fmt.Fprint(errOut, usage)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		fmt.Fprint(out, usage)
		return exitOK
	}
	run, ok := commands[args[0]]
	if !ok {
		fmt.Fprintf(errOut, "comfreyrouter: unknown command %q\n\n%s", args[0], usage)
		return exitUsage
	}
	err := run(ctx, args[1:], out, errOut)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	}
	fmt.Fprintf(errOut, "comfreyrouter: %v\n", err)
	return exitError
}

// parseFlags parses the flags of a command that takes no arguments.
func parseFlags(flags *flag.FlagSet, args []string, errOut io.Writer) error {
	flags.SetOutput(errOut)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(errOut, "%s: unexpected argument %q\n", flags.Name(), flags.Arg(0))
		flags.Usage()
		return errUsage
	}
	return nil
}

func newLogger(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, err
	}
	return zerolog.New(out).Level(parsed).With().Timestamp().Logger(), nil
}

// runEntry runs an entry VM. Its log goes to errOut.
func runEntry(ctx context.Context, args []string, _, errOut io.Writer) error {
	flags := flag.NewFlagSet("comfreyrouter entry", flag.ContinueOnError)
	path := flags.String("settings", "", "settings `file` of this entry VM (required)")
	if err := parseFlags(flags, args, errOut); err != nil {
		return err
	}
	if *path == "" {
		fmt.Fprintln(errOut, "comfreyrouter entry: -settings is required")
		flags.Usage()
		return errUsage
	}
	s, err := settings.Load(*path)
	if err != nil {
		return err
	}
	logger, err := newLogger(errOut, s.LogLevel)
	if err != nil {
		return err
	}
	return daemon.Run(ctx, daemon.Options{Settings: s, Logger: logger.With().Str("entry_vm", s.Name).Logger()})
}

// runCheck checks settings files and directories of declarations. It goes on after one that has faults.
func runCheck(_ context.Context, args []string, out, errOut io.Writer) error {
	flags := flag.NewFlagSet("comfreyrouter check", flag.ContinueOnError)
	flags.SetOutput(errOut)
	if err := flags.Parse(args); err != nil || flags.NArg() == 0 {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		fmt.Fprintln(errOut, "usage: comfreyrouter check PATH...  (a settings file or a directory of declarations)")
		return errUsage
	}
	var faults []error
	for _, path := range flags.Args() {
		if err := checkPath(path); err != nil {
			faults = append(faults, err)
			continue
		}
		fmt.Fprintf(out, "%s: ok\n", path)
	}
	return errors.Join(faults...)
}

func checkPath(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.IsDir() {
		_, err = declare.Load(path)
	} else {
		_, err = settings.Load(path)
	}
	return err
}

// runDev runs a trial fleet. By default its log has only errors, which an operator would have to look at.
func runDev(ctx context.Context, args []string, out, errOut io.Writer) error {
	flags := flag.NewFlagSet("comfreyrouter dev", flag.ContinueOnError)
	requests := flags.Int("requests", 0, "send so many requests, print a summary and exit; 0 serves until interrupted")
	level := flags.String("log-level", "error", "lowest level of log lines: debug, info, warn or error")
	if err := parseFlags(flags, args, errOut); err != nil {
		return err
	}
	if *requests < 0 {
		fmt.Fprintf(errOut, "comfreyrouter dev: -requests is %d, but must be 0 or more\n", *requests)
		return errUsage
	}
	logger, err := newLogger(errOut, *level)
	if err != nil {
		return err
	}
	return dev.Run(ctx, out, logger, *requests)
}
