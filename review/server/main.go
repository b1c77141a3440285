//go:build review

// Command server is a plain server of the platform. A request whose body begins with "deadly"
// crashes it at the end of its work.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

const (
	poisonPrefix = "deadly"
	exitCrashed  = 3
)

type server struct {
	id    string
	work  time.Duration
	slots chan struct{}
}

func main() {
	config := emulator.ServerConfig{RunLog: os.Stdout, Exit: os.Exit}
	listen := flag.String("listen", "", "listen address")
	flag.StringVar(&config.Address, "address", "", "address under which others reach the server")
	flag.StringVar(&config.Store, "store", "", "address of the store")
	flag.StringVar(&config.ID, "id", "", "ID of the server")
	flag.StringVar(&config.Service, "service", "", "service of the server")
	flag.StringVar(&config.FailureDomain, "failure-domain", "", "failure domain of the server")
	flag.IntVar(&config.Slots, "slots", 6, "requests that run at a time")
	flag.DurationVar(&config.WorkDuration, "work", 30*time.Millisecond, "time for a call")
	flag.DurationVar(&config.RegisterInterval, "beat", 1200*time.Millisecond, "time between entries in the store")
	flag.Parse()
	go emulator.NewServer(config).Register(context.Background()) // only for the entry in the store
	s := &server{id: config.ID, work: config.WorkDuration, slots: make(chan struct{}, config.Slots)}
	if err := http.ListenAndServe(*listen, s); err != nil {
		fmt.Fprintln(os.Stderr, "server:", err)
		os.Exit(2)
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fmt.Printf("arrived request=%s server=%s at_us=%d\n", id, s.id, time.Now().UnixMicro())
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Printf("ran request=%s server=%s at_us=%d\n", id, s.id, time.Now().UnixMicro())
	timer := time.NewTimer(s.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done(): // the work is dropped when the connection closes
		return
	}
	if strings.HasPrefix(string(body), poisonPrefix) {
		fmt.Printf("crashed request=%s server=%s at_us=%d\n", id, s.id, time.Now().UnixMicro())
		os.Exit(exitCrashed)
	}
	w.Header().Set("X-Server-Stamp", s.id)
	_, _ = io.WriteString(w, emulator.ResponseBody(body, r.URL.RequestURI())) // an error means that the caller disconnected
}
