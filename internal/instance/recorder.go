package instance

import (
	"strings"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/timeline"
)

// debugEvents occur for each regular request. They are logged at level debug, all
// other events at level info.
var debugEvents = map[timeline.Kind]bool{
	timeline.RequestAdmitted:    true,
	timeline.RequestFinished:    true,
	timeline.CallerConnected:    true,
	timeline.CallerDisconnected: true,
	timeline.AttemptStarted:     true,
	timeline.AttemptFirstToken:  true,
	timeline.AttemptEnded:       true,
	timeline.CallRecorded:       true,
	timeline.CallSent:           true,
}

// recorder counts events, forwards them to the timeline and logs each in one line
// of key=value pairs.
type recorder struct {
	next    timeline.Recorder
	metrics *metrics
	log     logrus.FieldLogger
}

// Record counts, forwards and logs an event.
func (r recorder) Record(event timeline.Event) {
	r.metrics.events.WithLabelValues(string(event.Kind)).Inc()
	r.next.Record(event)
	level := logrus.InfoLevel
	if debugEvents[event.Kind] {
		level = logrus.DebugLevel
	}
	if entry := r.log.WithField("event", event.Kind); entry.Logger.IsLevelEnabled(level) {
		entry.WithFields(eventFields(event)).Log(level)
	}
}

// eventFields returns the log fields of an event. Its detail is a list of
// key=value pairs or a single word.
func eventFields(event timeline.Event) logrus.Fields {
	fields := logrus.Fields{}
	if event.Request.Key != "" {
		fields["workspace"] = event.Request.Workspace
		fields["request"] = event.Request
	}
	if event.Attempt != 0 {
		fields["attempt"] = event.Attempt
	}
	if event.Upstream != "" {
		fields["upstream"] = event.Upstream
	}
	for _, word := range strings.Fields(event.Detail) {
		key, value, found := strings.Cut(word, "=")
		if !found {
			key, value = "detail", word
		}
		fields[key] = value
	}
	return fields
}
