// Command tamarackctl lets operators plan and apply sheets, read the status and
// decisions of a deployment, stop rows, drain entry hosts and explain failures
// from logs. See docs/operators.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	_ "time/tzdata" // lets --time-zone work on machines without a time zone database

	"github.com/tamarackstep/tamarackstep/cli/internal/app"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second interrupt ends the process at once
	env := app.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	if u, err := user.Current(); err == nil {
		env.User = u.Username
	}
	status := app.Run(ctx, os.Args[1:], env)
	stop()
	os.Exit(status)
}
