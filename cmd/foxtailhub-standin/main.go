// Command foxtailhub-standin runs a stand-in for a system outside foxtailhub: the
// platform, a model engine or a plain service. It is for tests, measurements and
// the demo.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/standin/emulator"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// options holds the values of the command-line flags.
type options struct {
	role            string
	listen          string
	extraListen     string
	models          string
	slots           int
	tokenInterval   time.Duration
	prefillPerToken time.Duration
	entryTTL        time.Duration
	routed          emulator.ServerConfig
}

func main() {
	var o options
	flag.StringVar(&o.role, "role", "", "platform, engine, service, routed-store, routed-engine or routed-service (required)")
	flag.StringVar(&o.listen, "listen", "127.0.0.1:0", "listen address")
	flag.StringVar(&o.extraListen, "also", "", "comma-separated further listen addresses of the same stand-in, without connection faults")
	flag.StringVar(&o.models, "models", "", "engine: comma-separated models as name@version or name@version+adapter")
	flag.IntVar(&o.slots, "slots", 8, "engine, service: requests that run at a time")
	flag.DurationVar(&o.tokenInterval, "token-interval", 20*time.Millisecond, "engine: time between two tokens of a stream")
	flag.DurationVar(&o.prefillPerToken, "prefill-per-token", 50*time.Microsecond, "engine: time to compute one prompt token")
	flag.DurationVar(&o.entryTTL, "entry-ttl", standin.DefaultEntryTTL, "platform: lifetime of a list entry that is not repeated")
	flag.StringVar(&o.routed.ID, "id", "", "routed roles: ID of the server")
	flag.StringVar(&o.routed.Service, "service", "", "routed roles: service of the server")
	flag.StringVar(&o.routed.FailureDomain, "failure-domain", "", "routed roles: failure domain of the server")
	flag.StringVar(&o.routed.Address, "address", "", "routed roles: address under which others reach the server")
	flag.StringVar(&o.routed.Store, "store", "", "routed roles: address of the store")
	flag.DurationVar(&o.routed.WorkDuration, "work", 20*time.Millisecond, "routed roles: time for a call or a prompt")
	flag.DurationVar(&o.routed.RegisterInterval, "beat", 300*time.Millisecond, "routed roles: time between entries in the store")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "foxtailhub-standin:", err)
		os.Exit(2)
	}
}

func run(ctx context.Context, o options) error {
	inner, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	listener := standin.NewListener(inner)
	handler, err := newHandler(ctx, o, listener)
	if err != nil {
		return err
	}
	if err := serveExtraAddresses(ctx, o.extraListen, handler); err != nil {
		return err
	}
	fmt.Printf("role=%s listen=%s\n", o.role, inner.Addr())
	return standin.Serve(ctx, listener, handler)
}

// serveExtraAddresses serves the handler at additional addresses, so that one
// process can act as many upstreams in a measurement.
func serveExtraAddresses(ctx context.Context, addresses string, handler http.Handler) error {
	for address := range strings.SplitSeq(addresses, ",") {
		if address == "" {
			continue
		}
		inner, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		go func() {
			if err := standin.Serve(ctx, standin.NewListener(inner), handler); err != nil {
				fmt.Fprintln(os.Stderr, "foxtailhub-standin:", err)
			}
		}()
	}
	return nil
}

func newHandler(ctx context.Context, o options, listener *standin.Listener) (http.Handler, error) {
	switch o.role {
	case "platform":
		return standin.NewPlatform(standin.PlatformConfig{EntryTTL: o.entryTTL}), nil
	case "engine":
		return standin.NewEngine(standin.EngineConfig{
			Models:          parseModels(o.models),
			Slots:           o.slots,
			TokenInterval:   o.tokenInterval,
			PrefillPerToken: o.prefillPerToken,
			Exit:            os.Exit,
			Connections:     listener,
		}), nil
	case "service":
		return standin.NewService(standin.ServiceConfig{Slots: o.slots, Connections: listener}), nil
	case "routed-store":
		return emulator.NewStore(), nil
	case "routed-engine", "routed-service":
		config := o.routed
		config.Engine = o.role == "routed-engine"
		config.Slots, config.EventInterval, config.RunLog = o.slots, o.tokenInterval, os.Stdout
		config.Exit = os.Exit
		server := emulator.NewServer(config)
		go server.Register(ctx)
		return server, nil
	default:
		return nil, fmt.Errorf("-role must be one of the roles listed by -h, not %q", o.role)
	}
}

// parseModels parses "name@version+adapter,..."; the adapter is optional.
func parseModels(list string) []upstream.ModelPin {
	var pins []upstream.ModelPin
	for item := range strings.SplitSeq(list, ",") {
		name, rest, found := strings.Cut(item, "@")
		if !found {
			continue
		}
		version, adapter, _ := strings.Cut(rest, "+")
		pins = append(pins, upstream.ModelPin{Model: name, Version: version, Adapter: adapter})
	}
	return pins
}
