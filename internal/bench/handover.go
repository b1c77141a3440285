package bench

import (
	"context"
	"flag"
	"strings"
	"syscall"
	"time"

	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// handoverMeasurement measures the pause of callers after a fault of the
// instance to which they are connected.
type handoverMeasurement struct {
	faults                   string
	runs, generations, slots int
	length                   int
	interval                 time.Duration
}

func (m *handoverMeasurement) flags(set *flag.FlagSet) {
	set.StringVar(&m.faults, "faults", "killed,paused", "faults of the instance")
	set.IntVar(&m.runs, "runs", 3, "runs of each fault")
	set.IntVar(&m.generations, "generations", 30, "generations in progress at the instance; half as many run at the next one")
	set.IntVar(&m.slots, "slots", 24, "slots of each of 4 engines")
	set.IntVar(&m.length, "length", 400, "tokens of each generation")
	set.DurationVar(&m.interval, "token-interval", 20*time.Millisecond, "time between two tokens")
}

func (m *handoverMeasurement) run(ctx context.Context, e *environment) error {
	var rows [][]any
	for fault := range strings.SplitSeq(m.faults, ",") {
		total := newDurations()
		var medians, longest []float64
		damaged := 0
		for n := range m.runs {
			pauses, damagedStreams, err := m.runOnce(ctx, e, fault, e.seed+uint64(n))
			if err != nil {
				return err
			}
			e.logf("%s run %d: p50=%.0f max=%.0f ms damaged=%d", fault, n, pauses.percentileMS(50), pauses.maxMS(), damagedStreams)
			total.merge(pauses)
			damaged += damagedStreams
			medians, longest = append(medians, pauses.percentileMS(50)), append(longest, pauses.maxMS())
		}
		rows = append(rows, append(append([]any{fault}, total.percentileCells()...), formatRange(medians), formatRange(longest), damaged))
	}
	columns := append(append([]string{"fault"}, percentileColumns...), "p50 of runs", "max of runs", "damaged")
	e.report.add("pause at the caller after the fault of its entry instance", columns, rows)
	return nil
}

func (m *handoverMeasurement) runOnce(ctx context.Context, e *environment, fault string, seed uint64) (durations, int, error) {
	pauses, damaged := newDurations(), 0
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	cluster, err := e.start(ctx, testcluster.Options{Engines: 4, Slots: m.slots, TokenInterval: m.interval})
	if err != nil {
		return pauses, 0, err
	}
	defer cluster.Close()
	var streams []*stream
	for i := range m.generations + m.generations/2 {
		s := newStream(seed, i, m.length)
		streams = append(streams, s)
		urls := cluster.URLs()
		if i >= m.generations {
			urls = urls[1:]
		}
		// A client rotates over its addresses. With one client per stream, each
		// stream starts at the first address.
		c, err := client.New(urls)
		if err != nil {
			return pauses, 0, err
		}
		go s.generate(ctx, c, seed)
	}
	if err := awaitTokens(ctx, streams, 50); err != nil {
		return pauses, 0, err
	}
	signal := syscall.SIGKILL
	if fault == faultPaused {
		signal = syscall.SIGSTOP
	}
	faultTime := time.Now()
	if err := cluster.Instances[0].Signal(signal); err != nil {
		return pauses, 0, err
	}
	for i, s := range streams {
		<-s.done
		if pause, _ := s.pauseAfter(faultTime); i < m.generations {
			pauses.record(pause)
		}
		if !s.complete(seed) {
			damaged++
		}
	}
	return pauses, damaged, nil
}
