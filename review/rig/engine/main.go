//go:build review

// The program is a model server like the project's stand-in, except that some requests crash it right
// after it has sent their first event.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"foxtailhub.example/foxtailhub/internal/standin/emulator"
)

// crashAfter is the time between the first event and the end of the process.
const crashAfter = 20 * time.Millisecond

func main() {
	var config emulator.ServerConfig
	listen := flag.String("listen", "", "listen address, which is also registered")
	deadly := flag.String("deadly", "", "prefix of bodies that crash the server")
	flag.StringVar(&config.ID, "id", "", "ID of the server")
	flag.StringVar(&config.Service, "service", "", "service of the server")
	flag.StringVar(&config.FailureDomain, "failure-domain", "", "failure domain of the server")
	flag.StringVar(&config.Store, "store", "", "address of the store")
	flag.IntVar(&config.Slots, "slots", 64, "requests that run at a time")
	flag.DurationVar(&config.EventInterval, "token-interval", 60*time.Millisecond, "time between two events")
	flag.Parse()
	config.Address, config.Engine, config.WorkDuration, config.RegisterInterval = *listen, true, 20*time.Millisecond, 300*time.Millisecond
	config.RunLog, config.Exit = os.Stdout, os.Exit
	server := emulator.NewServer(config)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go server.Register(ctx)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, expected := r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Expect-Instance")
		if id == "" || *deadly == "" || strings.HasPrefix(r.URL.Path, "/v1/") || expected != "" && expected != config.ID {
			server.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !bytes.HasPrefix(body, []byte(*deadly)) {
			server.ServeHTTP(w, r)
			return
		}
		fmt.Printf("arrived request=%s server=%s at_us=%d\n", id, config.ID, time.Now().UnixMicro())
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the header is missing
		w.Header().Set("X-Attempt-Id", id)
		if r.Header.Get("Kv-From") != "" { // the run ended before it was copied
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("X-Server-Stamp", config.ID)
		w.Header().Set("Content-Type", "text/event-stream")
		time.Sleep(config.WorkDuration)
		_, _ = io.WriteString(w, emulator.EventText(body, last+1)) // an error means that the caller disconnected
		_ = http.NewResponseController(w).Flush()                  // likewise
		time.Sleep(crashAfter)
		fmt.Printf("crashed request=%s server=%s at_us=%d\n", id, config.ID, time.Now().UnixMicro())
		os.Exit(3)
	})
	httpServer := &http.Server{Addr: *listen, Handler: handler}
	go func() {
		<-ctx.Done()
		_ = httpServer.Close() // the process ends
	}()
	if err := httpServer.ListenAndServe(); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
