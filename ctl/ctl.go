// Package ctl implements comfreyctl, the operators' command line.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/internal/strictyaml"
)

// Exit codes of Run.
const (
	ExitOK       = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitConflict = 3 // another operator's change was accepted first
)

// ServerVariable is the environment variable that gives the default of -server.
const ServerVariable = "COMFREYCTL_SERVER"

// defaultTimeout bounds each call, including its repeats.
const defaultTimeout = 30 * time.Second

// Terminal holds the input, the outputs and the environment of a command.
type Terminal struct {
	In          io.Reader
	Out         io.Writer
	Err         io.Writer
	Interactive bool // whether In is a terminal at which the operator can answer
	Getenv      func(string) string
}

// options holds the flags of all commands.
type options struct {
	server    string // addresses of entry VMs, separated by commas
	tokenFile string
	output    string // table or json
	timeout   time.Duration

	by     string // the operator's name, for the change history
	expect uint64 // configuration version that the change is made for

	keyID  string // id of the new key
	share  int    // new share of the team
	limit  int    // new limit of the team
	firm   int    // part of the limit that each entry VM keeps without a lease
	pool   string // the only pool whose VMs are listed
	dir    string // directory of declarations
	dryRun bool
	yes    bool   // publish without asking
	file   string // with a job
	key    string // of a caller
}

type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// session is one execution of a command.
type session struct {
	ctx      context.Context
	terminal Terminal
	options  *options
	setFlags map[string]bool // names of the flags given after the command's name
	client   *Client
}

// Run executes a command line, given without the program's name, and returns the exit code.
func Run(ctx context.Context, args []string, t Terminal) int {
	err := run(ctx, args, t)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		printError(t.Err, err)
	}
	return exitCode(err)
}

// printError prints an error. Problems found in files go one to a line, each starting with its file position, so that editors can jump to it.
func printError(w io.Writer, err error) {
	var problems strictyaml.Problems
	if errors.As(err, &problems) {
		fmt.Fprintln(w, problems)
		fmt.Fprintf(w, "comfreyctl: %s: faults found: %d\n", errkind.Of(err), len(problems))
		return
	}
	fmt.Fprintf(w, "comfreyctl: %s\n", err)
}

func run(ctx context.Context, args []string, t Terminal) error {
	o := &options{server: t.Getenv(ServerVariable), output: "table", timeout: defaultTimeout, by: t.Getenv("USER")}
	global := newFlags("comfreyctl", o)
	global.Usage = func() { printOverview(t.Out) }
	if err := parse(global, args); err != nil {
		return err
	}
	cmd, rest, err := findCommand(global.Args())
	if err != nil {
		return err
	}
	flags := newFlags("comfreyctl "+cmd.name, o)
	if cmd.flags != nil {
		cmd.flags(flags, o)
	}
	flags.Usage = func() { printUsage(t.Out, cmd, flags) }
	positional, err := parseInterspersed(flags, rest)
	if err != nil {
		return err
	}
	if len(positional) < cmd.min || len(positional) > cmd.max {
		return usageErrorf("usage: comfreyctl %s %s", cmd.name, cmd.argNames)
	}
	if o.output != "table" && o.output != "json" {
		return usageErrorf("-o: %q is neither table nor json", o.output)
	}
	s := &session{terminal: t, options: o, setFlags: givenFlags(flags)}
	return s.execute(ctx, cmd, positional)
}

func (s *session) execute(ctx context.Context, cmd *command, positional []string) error {
	s.ctx = ctx
	if !cmd.offline {
		if err := s.connect(); err != nil {
			return err
		}
	}
	return cmd.run(s, positional)
}

func (s *session) connect() error {
	if s.options.server == "" {
		return usageErrorf("no entry VM is named: give -server or set %s", ServerVariable)
	}
	token := ""
	if s.options.tokenFile != "" {
		data, err := os.ReadFile(s.options.tokenFile)
		if err != nil {
			return errkind.Wrap(errkind.Unauthorized, err)
		}
		token = strings.TrimSpace(string(data))
	}
	client, err := NewClient(s.options.server, token)
	s.client = client
	return err
}

func newFlags(name string, o *options) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&o.server, "server", o.server, "operators' addresses of entry VMs, `IP:port[,IP:port...]`, tried in order; default $"+ServerVariable)
	flags.StringVar(&o.tokenFile, "token-file", o.tokenFile, "`file` with the operators' token")
	flags.StringVar(&o.output, "o", o.output, "output `format`: table or json")
	flags.DurationVar(&o.timeout, "timeout", o.timeout, "bound on each call with all its repeats")
	return flags
}

func parse(flags *flag.FlagSet, args []string) error {
	err := flags.Parse(args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return usageErrorf("%s; see %s -h", err, flags.Name())
}

// parseInterspersed parses flags before, between and after the positional arguments, and returns the positional arguments.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := parse(flags, args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

func givenFlags(flags *flag.FlagSet) map[string]bool {
	set := map[string]bool{}
	flags.Visit(func(f *flag.Flag) { set[f.Name] = true })
	return set
}

// findCommand returns the command whose name the arguments begin with, and the arguments after the name.
func findCommand(args []string) (*command, []string, error) {
	line := strings.Join(args, " ") + " "
	for _, c := range commands() {
		if strings.HasPrefix(line, c.name+" ") {
			return c, args[len(strings.Fields(c.name)):], nil
		}
	}
	if len(args) == 0 {
		return nil, nil, usageErrorf("no command is given; see comfreyctl -h")
	}
	return nil, nil, usageErrorf("unknown command %q; see comfreyctl -h", strings.TrimSpace(line))
}

func printOverview(w io.Writer) {
	fmt.Fprint(w, "comfreyctl operates a fleet of entry VMs and backend servers.\n\nCommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-40s %s\n", strings.TrimSpace(c.name+" "+c.argNames), c.help)
	}
	fmt.Fprint(w, "\nExit codes: 0 ok, 1 error, 2 usage, 3 conflict with another operator's change.\nSee comfreyctl COMMAND -h for flags.\n")
}

func printUsage(w io.Writer, c *command, flags *flag.FlagSet) {
	fmt.Fprintf(w, "usage: comfreyctl %s %s\n%s\n\nFlags:\n", c.name, c.argNames, c.help)
	flags.SetOutput(w)
	flags.PrintDefaults()
	flags.SetOutput(io.Discard)
}
