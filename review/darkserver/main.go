//go:build review

// Command darkserver is the project's stand-in of a server, which falls silent instead of exiting
// when a request crashes it.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

func main() {
	config := emulator.ServerConfig{RunLog: os.Stdout}
	listen := flag.String("listen", "", "listen address")
	flag.BoolVar(&config.Engine, "engine", false, "be a model server")
	flag.StringVar(&config.Address, "address", "", "address under which others reach the server")
	flag.StringVar(&config.Store, "store", "", "address of the store")
	flag.StringVar(&config.ID, "id", "", "ID of the server")
	flag.StringVar(&config.Service, "service", "", "service of the server")
	flag.StringVar(&config.FailureDomain, "failure-domain", "", "failure domain of the server")
	flag.IntVar(&config.Slots, "slots", 6, "requests that run at a time")
	flag.DurationVar(&config.WorkDuration, "work", 30*time.Millisecond, "time for a call or a prompt")
	flag.DurationVar(&config.EventInterval, "token-interval", 30*time.Millisecond, "time between two events")
	flag.DurationVar(&config.RegisterInterval, "beat", 1200*time.Millisecond, "time between entries in the store")
	flag.Parse()
	config.Exit = func(int) {
		fmt.Printf("crashed request=unnamed server=%s at_us=%d\n", config.ID, time.Now().UnixMicro())
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		select {} // the harness ends the process
	}
	server := emulator.NewServer(config)
	go server.Register(context.Background())
	if err := http.ListenAndServe(*listen, server); err != nil {
		fmt.Fprintln(os.Stderr, "darkserver:", err)
		os.Exit(2)
	}
}
