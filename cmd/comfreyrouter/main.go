// Command comfreyrouter runs an entry VM, a node that takes jobs, a trial fleet or a stand-in, and checks settings and declarations.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"example.org/comfreyrouter/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
