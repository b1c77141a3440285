package bench

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// ErrUsage is returned if the arguments do not name a measurement.
var ErrUsage = errors.New("usage: foxtailhub-bench resume|handover|latency|overload|control|upstreams|config|routed [flags]")

// measurement is one subcommand.
type measurement interface {
	// flags registers the flags. The report contains their values.
	flags(set *flag.FlagSet)
	// run runs the measurement and adds its tables to the report.
	run(ctx context.Context, e *environment) error
}

func measurements() map[string]measurement {
	return map[string]measurement{
		"resume":    &resumeMeasurement{},
		"handover":  &handoverMeasurement{},
		"latency":   &latencyMeasurement{},
		"overload":  &overloadMeasurement{},
		"control":   &controlMeasurement{},
		"upstreams": &upstreamsMeasurement{},
		"config":    &configMeasurement{},
		"routed":    &routedMeasurement{},
	}
}

// environment holds the options, the directories and the report of a measurement.
type environment struct {
	seed     uint64
	binaries string
	workDir  string // directory for logs, keys and settings
	clusters int
	report   *Report
	progress io.Writer
}

// Run runs the measurement given by the arguments and prints its report.
func Run(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 {
		return ErrUsage
	}
	selected, found := measurements()[args[0]]
	if !found {
		return ErrUsage
	}
	set := flag.NewFlagSet(args[0], flag.ContinueOnError)
	asJSON := set.Bool("json", false, "print JSON instead of text")
	seed := set.Uint64("seed", 1, "seed of all random choices of the measurement")
	binaries := set.String("binaries", "", "directory of built programs; they are built if it is empty")
	selected.flags(set)
	if err := set.Parse(args[1:]); err != nil {
		return err
	}
	e := &environment{seed: *seed, binaries: *binaries, report: newReport(args[0], set), progress: os.Stderr}
	if err := e.prepare(ctx); err != nil {
		return err
	}
	if err := selected.run(ctx, e); err != nil {
		return errors.Wrapf(err, "logs are in %s", e.workDir)
	}
	if err := os.RemoveAll(e.workDir); err != nil {
		return err
	}
	if *asJSON {
		return e.report.WriteJSON(out)
	}
	return e.report.WriteText(out)
}

func (e *environment) prepare(ctx context.Context) error {
	workDir, err := os.MkdirTemp("", "foxtailhub-bench-")
	if err != nil {
		return err
	}
	e.workDir = workDir
	if e.binaries != "" {
		return nil
	}
	e.binaries = filepath.Join(workDir, "bin")
	return testcluster.Build(ctx, e.binaries)
}

// start starts a cluster in a separate directory.
func (e *environment) start(ctx context.Context, options testcluster.Options) (*testcluster.Cluster, error) {
	e.clusters++
	dir := filepath.Join(e.workDir, fmt.Sprintf("cluster-%d", e.clusters))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, err
	}
	options.Binaries = e.binaries
	return testcluster.Start(ctx, dir, options)
}

func (e *environment) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.progress, format+"\n", args...) // progress output; errors are ignored
}

// intList is a flag value of comma-separated numbers.
type intList []int

// String returns the numbers in the syntax that Set parses.
func (l *intList) String() string {
	var parts []string
	for _, n := range *l {
		parts = append(parts, strconv.Itoa(n))
	}
	return strings.Join(parts, ",")
}

// Set parses comma-separated numbers.
func (l *intList) Set(text string) error {
	*l = nil
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil {
			return err
		}
		*l = append(*l, n)
	}
	return nil
}
