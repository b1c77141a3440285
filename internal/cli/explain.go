package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/client"
)

// explainLookback is the period before a request's first line from which events of
// its upstreams and instances are shown: the request avoids upstreams lost in it.
const explainLookback = 10 * time.Second

func explainCommand() command {
	return command{
		name: "explain", usage: "[FILE...]", summary: "show what the instances' logs say of a request (files, or standard input)",
		setup: func(flags *flag.FlagSet) runner {
			request := flags.String("request", "", "identifier of the request (required)")
			return func(_ context.Context, env IOStreams, _ *client.Client, args []string) (ExitCode, error) {
				if *request == "" {
					return ExitUsage, usageError("-request is required")
				}
				lines, err := readLogs(env.Stdin, args)
				if err != nil {
					return ExitFailed, err
				}
				return explain(env.Stdout, lines, *request)
			}
		},
	}
}

// explain prints, ordered by time, the lines of a request and, until the last of
// them, the lines of its instances about its upstreams and themselves.
func explain(out io.Writer, lines []logLine, request string) (ExitCode, error) {
	var from, to time.Time
	upstreams, instances := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.request != request {
			continue
		}
		if from.IsZero() || line.at.Before(from) {
			from = line.at
		}
		if line.at.After(to) {
			to = line.at
		}
		instances[line.instance] = true
		upstreams[line.upstream] = true
		for _, id := range wordPattern.FindAllString(firstGroup(upstreamsField, line.text), -1) {
			upstreams[id] = true
		}
	}
	if from.IsZero() {
		return ExitFailed, errors.Newf("no log line contains request %s", request)
	}
	delete(upstreams, "")
	related := func(line logLine) bool {
		if line.request == request {
			return true
		}
		inWindow := line.at.After(from.Add(-explainLookback)) && !line.at.After(to)
		return inWindow && line.request == "" && instances[line.instance] && (line.upstream == "" || upstreams[line.upstream])
	}
	shown := slices.DeleteFunc(slices.Clone(lines), func(line logLine) bool { return !related(line) })
	sortByTime(shown)
	for _, line := range shown {
		if _, err := fmt.Fprintf(out, "%+9.3f s  %s\n", line.at.Sub(from).Seconds(), line.text); err != nil {
			return ExitFailed, err
		}
	}
	return ExitOK, nil
}
