// Package ctl is the operators' command line, comfreyctl.
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
	ExitConflict = 3 // another operator's change won
)

// ServerVariable is the environment variable that stands for -server.
const ServerVariable = "COMFREYCTL_SERVER"

// defaultTimeout bounds each call with all its repeats.
const defaultTimeout = 30 * time.Second

// Terminal is what a command reads and writes.
type Terminal struct {
	In          io.Reader
	Out         io.Writer
	Err         io.Writer
	Interactive bool // whether In is a person who can be asked
	Getenv      func(string) string
}

// options holds the flags of all commands.
type options struct {
	server    string
	tokenFile string
	output    string
	timeout   time.Duration

	by     string
	expect uint64

	keyID  string
	share  int
	limit  int
	firm   int
	pool   string
	dir    string
	dryRun bool
	yes    bool
}

type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// session is one run of a command.
type session struct {
	ctx      context.Context
	terminal Terminal
	options  *options
	set      map[string]bool // flags that were given
	client   *Client
}

// Run runs the command line without the program's name and returns the exit code.
func Run(ctx context.Context, args []string, t Terminal) int {
	err := run(ctx, args, t)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		report(t.Err, err)
	}
	return exitCode(err)
}

// report prints the faults of files one a line, each beginning with its place, so that editors can jump there.
func report(w io.Writer, err error) {
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
	global.Usage = func() { overview(t.Out) }
	if err := parse(global, args); err != nil {
		return err
	}
	cmd, rest, err := find(global.Args())
	if err != nil {
		return err
	}
	flags := newFlags("comfreyctl "+cmd.name, o)
	if cmd.flags != nil {
		cmd.flags(flags, o)
	}
	flags.Usage = func() { usage(t.Out, cmd, flags) }
	words, err := parseMixed(flags, rest)
	if err != nil {
		return err
	}
	if len(words) < cmd.min || len(words) > cmd.max {
		return usagef("usage: comfreyctl %s %s", cmd.name, cmd.args)
	}
	if o.output != "table" && o.output != "json" {
		return usagef("-o: %q is neither table nor json", o.output)
	}
	s := &session{terminal: t, options: o, set: given(flags)}
	return s.execute(ctx, cmd, words)
}

func (s *session) execute(ctx context.Context, cmd *command, words []string) error {
	s.ctx = ctx
	if !cmd.offline {
		if err := s.connect(); err != nil {
			return err
		}
	}
	return cmd.run(s, words)
}

func (s *session) connect() error {
	if s.options.server == "" {
		return usagef("no entry VM is named: give -server or set %s", ServerVariable)
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
	return usagef("%s; see %s -h", err, flags.Name())
}

// parseMixed parses flags before, between and after the words and returns the words.
func parseMixed(flags *flag.FlagSet, args []string) ([]string, error) {
	var words []string
	for {
		if err := parse(flags, args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return words, nil
		}
		words = append(words, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

func given(flags *flag.FlagSet) map[string]bool {
	set := map[string]bool{}
	flags.Visit(func(f *flag.Flag) { set[f.Name] = true })
	return set
}

// find returns the command whose name the words begin with, and the words after it.
func find(words []string) (*command, []string, error) {
	line := strings.Join(words, " ") + " "
	for _, c := range commands() {
		if strings.HasPrefix(line, c.name+" ") {
			return c, words[len(strings.Fields(c.name)):], nil
		}
	}
	if len(words) == 0 {
		return nil, nil, usagef("no command is given; see comfreyctl -h")
	}
	return nil, nil, usagef("unknown command %q; see comfreyctl -h", strings.TrimSpace(line))
}

func overview(w io.Writer) {
	fmt.Fprint(w, "comfreyctl operates a fleet of entry VMs and backend servers.\n\nCommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-40s %s\n", strings.TrimSpace(c.name+" "+c.args), c.help)
	}
	fmt.Fprint(w, "\nExit codes: 0 ok, 1 error, 2 usage, 3 conflict with another operator's change.\nSee comfreyctl COMMAND -h for flags.\n")
}

func usage(w io.Writer, c *command, flags *flag.FlagSet) {
	fmt.Fprintf(w, "usage: comfreyctl %s %s\n%s\n\nFlags:\n", c.name, c.args, c.help)
	flags.SetOutput(w)
	flags.PrintDefaults()
	flags.SetOutput(io.Discard)
}
