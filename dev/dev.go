package dev

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/rs/zerolog"
)

// Run starts a fleet. If requests is above 0, it sends that many requests, runs a job, prints the results and returns the first error; otherwise it
// prints how to use the fleet and serves until ctx ends.
func Run(ctx context.Context, out io.Writer, logger zerolog.Logger, requests int) error {
	counter := NewStartCounter()
	cluster, err := Start(ctx, Options{Logger: logger, OnStart: counter.OnStart})
	if err != nil {
		return err
	}
	if requests > 0 {
		summary, err := NewLoad(cluster, counter).Run(ctx, requests)
		closed := cluster.Close()
		fmt.Fprintln(out, summary)
		job := RunJob(ctx, out, logger)
		for _, failure := range []error{err, summary.Err(), closed, job} {
			if failure != nil {
				return failure
			}
		}
		return nil
	}
	cluster.printUsage(out)
	<-ctx.Done()
	return cluster.Close()
}

// printUsage prints the addresses and keys of the fleet and example commands.
func (c *Cluster) printUsage(out io.Writer) {
	fmt.Fprintf(out, "platform stand-in (log, list of VMs): %s\n", c.platform.Addr())
	for _, e := range c.entries {
		a := e.addresses
		fmt.Fprintf(out, "entry VM %s: callers %s, operators %s, peers %s\n", e.name, a.Caller, a.Operator, a.Peer)
	}
	fmt.Fprintf(out, "%d backend server stand-ins\n", len(c.servers))
	for _, team := range sorted(c.Keys) {
		fmt.Fprintf(out, "key of team %s: %s\n", team, c.Keys[team])
	}
	team := sorted(c.Keys)[0]
	fmt.Fprintf(out, "\ntry a request:\n  curl -i http://%s/v1/requests/quote -H 'Comfrey-Key: %s' -H 'Comfrey-Deadline-Ms: 3000' "+
		"-H 'Comfrey-Repeatable: true' -d '{\"run_millis\":100}'\n", c.CallerAddresses()[0], c.Keys[team])
	fmt.Fprintf(out, "try the operators' command line:\n  go run ./cmd/comfreyctl -server %s status\n", strings.Join(c.OperatorAddresses()[:2], ","))
}
