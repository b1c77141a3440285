// Command foxtailhub is the command-line tool of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"foxtailhub.example/foxtailhub/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := cli.IOStreams{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(int(cli.Run(ctx, env, os.Args[1:])))
}
