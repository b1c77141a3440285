package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLogLine bounds one line of a log.
	maxLogLine = 1 << 20
	// mergeWindow is the time within which the same event at several instances is
	// shown once. A configuration has to be in force everywhere within 3 s.
	mergeWindow = 3 * time.Second
)

// Fields of a log line.
var (
	logTime      = regexp.MustCompile(`\btime="?([^" ]+)"?`)
	logRequest   = regexp.MustCompile(`\b(?:cause_)?request=(\S+)`)
	logUpstream  = regexp.MustCompile(`\b(?:upstream|copy_at)=(\S+)`)
	logUpstreams = regexp.MustCompile(`\bupstreams="?\[([^\]]*)\]`)
	logInstance  = regexp.MustCompile(`\binstance=(\S+)`)
	// logOwn are the fields in which the lines of several instances on one event
	// differ: who says it, when, how long it took and in what words it failed.
	logOwn  = regexp.MustCompile(`\b(?:time|instance|error|\w+_ms)=(?:"(?:[^"\\]|\\.)*"|\S+) ?`)
	logWord = regexp.MustCompile(`\S+`)
)

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

func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
}

// mergedEvent is an event that one or more instances logged.
type mergedEvent struct {
	first, last time.Time
	instances   map[string]bool
	text        string // of the first line
}

// mergeEvents returns what instances logged of other things than single
// requests, in the order of time. What several instances logged of the same
// event is one entry.
func mergeEvents(lines []logLine) []*mergedEvent {
	lines = slices.DeleteFunc(slices.Clone(lines), func(line logLine) bool { return line.request != "" })
	sortByTime(lines)
	var merged []*mergedEvent
	open := map[string]*mergedEvent{}
	for _, line := range lines {
		key := commonText(line.text)
		event := open[key]
		if event == nil || line.at.Sub(event.first) > mergeWindow || event.instances[line.instance] {
			event = &mergedEvent{first: line.at, instances: map[string]bool{}, text: line.text}
			open[key] = event
			merged = append(merged, event)
		}
		event.last = line.at
		event.instances[line.instance] = true
	}
	return merged
}

// commonText returns what the lines of several instances on one event have in
// common. What collectors of logs put before a line is left out.
func commonText(text string) string {
	return strings.TrimSpace(logOwn.ReplaceAllString(text[logTime.FindStringIndex(text)[0]:], ""))
}

// printLogTimeline prints the events of all instances. Times count from the first.
func printLogTimeline(out io.Writer, lines []logLine) (ExitCode, error) {
	events := mergeEvents(lines)
	if len(events) == 0 {
		return ExitFailed, errors.New("the logs hold no event")
	}
	began := events[0].first
	for _, e := range events {
		text := e.text
		if n := len(e.instances); n > 1 {
			text = fmt.Sprintf("%d instances within %d ms: %s", n, e.last.Sub(e.first).Milliseconds(), commonText(e.text))
		}
		if _, err := fmt.Fprintf(out, "%+9.3f s  %s\n", e.first.Sub(began).Seconds(), text); err != nil {
			return ExitFailed, err
		}
	}
	return ExitOK, nil
}
