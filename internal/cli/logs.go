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
	// maxLogLine bounds one log line, in bytes.
	maxLogLine = 1 << 20
	// mergeWindow is the time within which the same event at several instances is
	// shown once. A configuration must be in force at all instances within 3 s.
	mergeWindow = 3 * time.Second
)

// Fields of a log line.
var (
	timeField      = regexp.MustCompile(`\btime="?([^" ]+)"?`)
	requestField   = regexp.MustCompile(`\b(?:cause_)?request=(\S+)`)
	upstreamField  = regexp.MustCompile(`\b(?:upstream|copy_at)=(\S+)`)
	upstreamsField = regexp.MustCompile(`\bupstreams="?\[([^\]]*)\]`)
	instanceField  = regexp.MustCompile(`\binstance=(\S+)`)
	// perInstanceFields matches the fields in which the lines of several instances
	// about one event differ: instance, time, durations and error text.
	perInstanceFields = regexp.MustCompile(`\b(?:time|instance|error|\w+_ms)=(?:"(?:[^"\\]|\\.)*"|\S+) ?`)
	wordPattern       = regexp.MustCompile(`\S+`)
)

// logLine is one line of a log.
type logLine struct {
	at       time.Time
	request  string // empty if the line has no request
	upstream string // empty if the line has no upstream
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
		_ = file.Close() // opened only for reading
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog returns the lines with a time; instances write no other lines.
func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		at, err := time.Parse(time.RFC3339Nano, firstGroup(timeField, text))
		if err != nil {
			continue
		}
		lines = append(lines, logLine{
			at: at, request: firstGroup(requestField, text), upstream: firstGroup(upstreamField, text), instance: firstGroup(instanceField, text), text: text,
		})
	}
	return lines, scanner.Err()
}

func firstGroup(pattern *regexp.Regexp, text string) string {
	if match := pattern.FindStringSubmatch(text); match != nil {
		return match[1]
	}
	return ""
}

func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
}

// mergedEvent is an event that was logged by one or more instances.
type mergedEvent struct {
	first, last time.Time
	instances   map[string]bool
	text        string // of the first line
}

// mergeEvents returns the events that do not belong to a request, ordered by
// time. Lines of several instances about the same event are merged into one.
func mergeEvents(lines []logLine) []*mergedEvent {
	lines = slices.DeleteFunc(slices.Clone(lines), func(line logLine) bool { return line.request != "" })
	sortByTime(lines)
	var merged []*mergedEvent
	lastByText := map[string]*mergedEvent{}
	for _, line := range lines {
		key := sharedText(line.text)
		event := lastByText[key]
		if event == nil || line.at.Sub(event.first) > mergeWindow || event.instances[line.instance] {
			event = &mergedEvent{first: line.at, instances: map[string]bool{}, text: line.text}
			lastByText[key] = event
			merged = append(merged, event)
		}
		event.last = line.at
		event.instances[line.instance] = true
	}
	return merged
}

// sharedText returns the part of a log line that is equal at all instances that
// log the same event. It drops the prefix that a log collector puts before a line.
func sharedText(text string) string {
	return strings.TrimSpace(perInstanceFields.ReplaceAllString(text[timeField.FindStringIndex(text)[0]:], ""))
}

// printLogTimeline prints the events of all instances, timed from the first event.
func printLogTimeline(out io.Writer, lines []logLine) (ExitCode, error) {
	events := mergeEvents(lines)
	if len(events) == 0 {
		return ExitFailed, errors.New("no event found in the logs")
	}
	start := events[0].first
	for _, e := range events {
		text := e.text
		if n := len(e.instances); n > 1 {
			text = fmt.Sprintf("%d instances within %d ms: %s", n, e.last.Sub(e.first).Milliseconds(), sharedText(e.text))
		}
		if _, err := fmt.Fprintf(out, "%+9.3f s  %s\n", e.first.Sub(start).Seconds(), text); err != nil {
			return ExitFailed, err
		}
	}
	return ExitOK, nil
}
