package bench

import (
	"context"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// Faults of a process.
const (
	faultKilled = "killed"
	faultPaused = "paused"
	faultSilent = "silent"
	faultCut    = "cut"
)

// settleTimeout limits the wait for engines to finish abandoned streams.
const settleTimeout = 10 * time.Second

func inject(ctx context.Context, fault string, engine *testcluster.Process) error {
	switch fault {
	case faultKilled:
		return engine.Signal(syscall.SIGKILL)
	case faultPaused:
		return engine.Signal(syscall.SIGSTOP)
	case faultSilent:
		return testcluster.SetFault(ctx, engine, standin.Fault{Silence: true})
	case faultCut:
		return testcluster.SetFault(ctx, engine, standin.Fault{Cut: true})
	default:
		return errors.Newf("unknown fault %q", fault)
	}
}

// enginesByKey returns the engine on which each request runs, from the timelines
// of the instances.
func enginesByKey(ctx context.Context, cluster *testcluster.Cluster) (map[string]int, error) {
	engines := map[string]int{}
	for _, instance := range cluster.Instances {
		c, err := client.New([]string{instance.URL()})
		if err != nil {
			return nil, err
		}
		timeline, err := c.NextEndpoint().GetTimeline(ctx, oas.GetTimelineParams{Local: oas.NewOptBool(true)})
		if err != nil {
			return nil, err
		}
		for _, event := range timeline.Events {
			name, found := strings.CutPrefix(event.Upstream.Or(""), "drafting-")
			if !found || event.Kind != "attempt_started" {
				continue
			}
			if engines[event.Key.Or("")], err = strconv.Atoi(name); err != nil {
				return nil, err
			}
		}
	}
	return engines, nil
}

// engineCounters returns the sum of the counters of all engines except one.
func engineCounters(ctx context.Context, engines []*testcluster.Process, excluded int) (standin.EngineCounters, error) {
	var sum standin.EngineCounters
	for i, engine := range engines {
		if i == excluded {
			continue
		}
		var c standin.EngineCounters
		if err := testcluster.GetJSON(ctx, engine.URL()+"/counters", &c); err != nil {
			return sum, err
		}
		addCounters(&sum, c)
	}
	return sum, nil
}

func addCounters(sum *standin.EngineCounters, c standin.EngineCounters) {
	sum.TokensGenerated += c.TokensGenerated
	sum.PrefixTokensRecomputed += c.PrefixTokensRecomputed
	sum.PrefillTokens += c.PrefillTokens
	sum.StreamsStarted += c.StreamsStarted
	sum.StreamsResumed += c.StreamsResumed
	sum.StreamsCancelled += c.StreamsCancelled
}

// settledCounters waits until the engines generate no more tokens and returns the
// sum of their counters.
func settledCounters(ctx context.Context, engines []*testcluster.Process, excluded int) (standin.EngineCounters, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	previous, err := engineCounters(ctx, engines, excluded)
	for err == nil {
		if err := waitFor(ctx, 500*time.Millisecond); err != nil {
			return previous, nil // timed out: the counters read so far
		}
		var now standin.EngineCounters
		now, err = engineCounters(ctx, engines, excluded)
		if now.TokensGenerated == previous.TokensGenerated {
			return now, err
		}
		previous = now
	}
	return previous, err
}
