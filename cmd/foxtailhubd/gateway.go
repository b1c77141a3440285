package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"foxtailhub.example/foxtailhub/internal/checkedhttp"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/gateway"
	"foxtailhub.example/foxtailhub/internal/keptconn"
	"foxtailhub.example/foxtailhub/internal/logsink"
	"foxtailhub.example/foxtailhub/platform"
)

// settingsVariable is the environment variable with the default of -settings.
const settingsVariable = "FOXTAILHUB_SETTINGS"

// runGateway runs an instance as a gateway for routed requests on the platform.
func runGateway(arguments []string) int {
	flags := flag.NewFlagSet("foxtailhubd gateway", flag.ExitOnError)
	path := flags.String("settings", os.Getenv(settingsVariable), "settings file; default: $"+settingsVariable)
	check := flags.Bool("check", false, "check the settings and exit with 0 or 2")
	_ = flags.Parse(arguments) // exits on an error
	settings, err := gateway.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "foxtailhubd:", err)
		return exitUsage
	}
	if *check {
		fmt.Println("settings are valid")
		return 0
	}
	sink := logsink.New(os.Stdout, settings.LogLines)
	defer sink.Close()
	log, err := newLogger(settings.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, "foxtailhubd:", err)
		return exitUsage
	}
	log.SetOutput(sink)
	disableQUICBufferWarning(log)
	reloadOnHangup(*path, log)
	// The first SIGTERM starts the graceful shutdown. Later ones have no effect,
	// because exiting earlier would interrupt callers.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := gateway.New(settings, newPlatform(settings), log).Run(ctx); err != nil {
		log.WithError(err).Error("gateway failed")
		return exitFailed
	}
	return 0
}

// disableQUICBufferWarning keeps the QUIC library from logging a warning for each
// socket with a limited receive buffer: messages between instances are small.
func disableQUICBufferWarning(log logrus.FieldLogger) {
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		log.WithError(err).Debug("QUIC buffer warning could not be disabled")
	}
}

func newPlatform(settings *gateway.Settings) gateway.Platform {
	unkept := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxResponseHeaderBytes}
	servers := platform.NewUpstreamClient(&http.Client{Transport: checkedhttp.New(unkept)}, &http.Client{Transport: keptconn.New(unkept)})
	eras := discovery.NewEraTracker()
	return gateway.Platform{
		Store:         platform.NewStore(settings.StoreAddress, storeTransport(), eras.Observe),
		Eras:          eras,
		Decoder:       platform.Decoder{},
		Protocol:      platform.Protocol{},
		Prober:        servers,
		KVCopier:      servers,
		PromptFinder:  servers,
		ReadinessPath: platform.ReadinessPath,
		Clock:         sinceBoot,
	}
}

// sinceBoot returns the time since the machine booted, including suspended time.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

// processStart replaces the boot time if the boot clock cannot be read.
var processStart = time.Now()

// storeKeepAlive detects a half-open connection to the store within two seconds,
// the shortest time that the kernel's unit of one second allows. A long poll may
// last much longer than the time within which a change must arrive.
var storeKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

func storeTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: storeDialTimeout, KeepAliveConfig: storeKeepAlive}
	return &http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxResponseHeaderBytes}
}

// maxResponseHeaderBytes bounds the header of a response of the store, or of an
// upstream's control interface.
const maxResponseHeaderBytes = 16 << 10

// storeDialTimeout bounds the time to connect to the store, which accepts within a
// few milliseconds.
const storeDialTimeout = 500 * time.Millisecond

// reloadOnHangup reloads the settings on SIGHUP. Only the log level changes in a
// running process; other settings take effect at the next start.
func reloadOnHangup(path string, log *logrus.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			settings, err := gateway.LoadSettings(path)
			if err != nil {
				log.WithError(err).Error("settings were not reloaded")
				continue
			}
			level, err := logrus.ParseLevel(settings.LogLevel)
			if err != nil {
				log.WithError(err).Error("settings were not reloaded")
				continue
			}
			log.SetLevel(level)
			log.WithField("log_level", level).Info("settings reloaded")
		}
	}()
}
