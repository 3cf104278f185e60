// Command comfreyctl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mattn/go-isatty"

	"example.org/comfreyrouter/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Terminal{
		In:          os.Stdin,
		Out:         os.Stdout,
		Err:         os.Stderr,
		Interactive: isatty.IsTerminal(os.Stdin.Fd()),
		Getenv:      os.Getenv,
	})
	stop()
	os.Exit(code)
}
