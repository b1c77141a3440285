// Command foxtailhubd is the daemon: one process per instance. With the argument
// "gateway" it runs as a gateway that forwards routed requests on the platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/instance"
	"foxtailhub.example/foxtailhub/internal/settings"
)

// Exit codes of the daemon.
const (
	exitFailed = 1 // the instance could not run
	exitUsage  = 2 // wrong arguments or settings
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "gateway" {
		os.Exit(runGateway(os.Args[2:]))
	}
	path := flag.String("settings", "", "settings file (required)")
	check := flag.Bool("check", false, "check the settings and exit with 0 or 2")
	flag.Parse()
	if *path == "" {
		fmt.Fprintln(os.Stderr, "foxtailhubd: -settings is required")
		os.Exit(exitUsage)
	}
	loaded, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "foxtailhubd:", err)
		os.Exit(exitUsage)
	}
	if *check {
		fmt.Println("settings are valid")
		return
	}
	if err := run(loaded); err != nil {
		fmt.Fprintln(os.Stderr, "foxtailhubd:", err)
		os.Exit(exitFailed)
	}
}

func run(s *settings.Settings) error {
	log, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	i, err := instance.Provision(s, log)
	if err != nil {
		return err
	}
	// The first SIGTERM starts the graceful shutdown. Later ones have no effect,
	// because exiting earlier would interrupt callers.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return i.Run(ctx)
}

// newLogger returns a logger that writes each entry as one line of key=value pairs.
func newLogger(level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return log, nil
}
