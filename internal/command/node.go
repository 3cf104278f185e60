package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/jobnode"
)

// settingsVariable is the environment variable that holds the path of the settings file if the flag is not given.
const settingsVariable = "COMFREYROUTER_CONFIG"

// runNode runs a node that takes jobs. Its log goes to out.
func runNode(ctx context.Context, args []string, out, errOut io.Writer) error {
	flags := flag.NewFlagSet("comfreyrouter node", flag.ContinueOnError)
	path := flags.String("settings", os.Getenv(settingsVariable), "settings `file` of this node")
	check := flags.Bool("check", false, "check the settings file and exit")
	if err := parseFlags(flags, args, errOut); err != nil {
		return err
	}
	if *path == "" {
		fmt.Fprintf(errOut, "comfreyrouter node: -settings is required where %s isn't set\n", settingsVariable)
		flags.Usage()
		return errUsage
	}
	s, err := jobnode.LoadSettings(*path)
	if err != nil {
		return err
	}
	if *check {
		fmt.Fprintf(out, "%s: ok\n", *path)
		return nil
	}
	logger, err := newLogger(out, s.LogLevel)
	if err != nil {
		return err
	}
	logger = logger.With().Str("node", s.Name).Logger()
	go checkSettingsOnHangup(ctx, *path, logger)
	return jobnode.Run(ctx, jobnode.Options{Settings: s, Logger: logger})
}

// checkSettingsOnHangup checks the settings file on each SIGHUP and logs the result, without loading it. A node's settings are its
// addresses and bounds, which don't change while the process runs, so a changed file takes effect at the next start.
func checkSettingsOnHangup(ctx context.Context, path string, log zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			_, err := jobnode.LoadSettings(path)
			text := ""
			if err != nil {
				text = err.Error()
			}
			events.Log(log, events.SettingsChanged, path, text)
		}
	}
}
