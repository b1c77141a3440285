package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/gateway"
	"foxtailhub.example/foxtailhub/internal/logsink"
	"foxtailhub.example/foxtailhub/platform"
)

// settingsVariable names the settings file where the flag does not.
const settingsVariable = "FOXTAILHUB_SETTINGS"

// runGateway runs the instance that forwards routed requests on the platform.
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
	reloadOnHangup(*path, log)
	// The first SIGTERM begins the departure; later ones change nothing, because
	// ending sooner would cut callers off.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := gateway.New(settings, onPlatform(settings), log).Run(ctx); err != nil {
		log.WithError(err).Error("gateway failed")
		return exitFailed
	}
	return 0
}

func onPlatform(settings *gateway.Settings) gateway.Platform {
	servers := platform.NewServers(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	return gateway.Platform{
		Store:         platform.NewStore(settings.StoreAddress, &http.Client{Transport: &http.Transport{}}),
		Decoder:       platform.Decoder{},
		Protocol:      platform.Protocol{},
		Prober:        servers,
		Copier:        servers,
		Finder:        servers,
		ReadinessPath: platform.ReadinessPath,
	}
}

// reloadOnHangup reads the settings again at SIGHUP. Only the log level changes
// in a running process; the rest takes effect at the next start.
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
