package cli

import (
	"bufio"
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/client"
)

const (
	// explainBefore is how long before a request's first line the events of its
	// upstreams and instances are shown: an upstream that was lost then is avoided.
	explainBefore = 10 * time.Second
	// maxLogLine bounds one line of a log.
	maxLogLine = 1 << 20
)

// Fields of a log line.
var (
	logTime      = regexp.MustCompile(`\btime="?([^" ]+)"?`)
	logRequest   = regexp.MustCompile(`\b(?:cause_)?request=(\S+)`)
	logUpstream  = regexp.MustCompile(`\b(?:upstream|copy_at)=(\S+)`)
	logUpstreams = regexp.MustCompile(`\bupstreams="?\[([^\]]*)\]`)
	logInstance  = regexp.MustCompile(`\binstance=(\S+)`)
	logWord      = regexp.MustCompile(`\S+`)
)

func explainCommand() command {
	return command{
		name: "explain", usage: "[FILE...]", summary: "show what the instances' logs say of a request (files, or standard input)",
		setup: func(flags *flag.FlagSet) runner {
			request := flags.String("request", "", "identifier of the request (required)")
			return func(_ context.Context, env Environment, _ *client.Client, args []string) (ExitCode, error) {
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

// logLine is one line of a log.
type logLine struct {
	at       time.Time
	request  string // empty: it is not about one
	upstream string // empty: it is not about one
	instance string
	text     string
}

func readLogs(stdin io.Reader, files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(stdin)
	}
	var all []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := readLog(file)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads the lines that have a time; others are not from an instance.
func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		at, err := time.Parse(time.RFC3339Nano, field(logTime, text))
		if err != nil {
			continue
		}
		lines = append(lines, logLine{
			at: at, request: field(logRequest, text), upstream: field(logUpstream, text), instance: field(logInstance, text), text: text,
		})
	}
	return lines, scanner.Err()
}

func field(pattern *regexp.Regexp, text string) string {
	if match := pattern.FindStringSubmatch(text); match != nil {
		return match[1]
	}
	return ""
}

// explain prints, in the order of time, the lines of a request, and what else
// its instances logged of its upstreams and of themselves meanwhile.
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
		for _, id := range logWord.FindAllString(field(logUpstreams, line.text), -1) {
			upstreams[id] = true
		}
	}
	if from.IsZero() {
		return ExitFailed, errors.Newf("no line is about request %s", request)
	}
	delete(upstreams, "")
	related := func(line logLine) bool {
		if line.request == request {
			return true
		}
		inTime := line.at.After(from.Add(-explainBefore)) && !line.at.After(to)
		return inTime && line.request == "" && instances[line.instance] && (line.upstream == "" || upstreams[line.upstream])
	}
	shown := slices.DeleteFunc(slices.Clone(lines), func(line logLine) bool { return !related(line) })
	slices.SortStableFunc(shown, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, line := range shown {
		if _, err := fmt.Fprintf(out, "%+9.3f s  %s\n", line.at.Sub(from).Seconds(), line.text); err != nil {
			return ExitFailed, err
		}
	}
	return ExitOK, nil
}
