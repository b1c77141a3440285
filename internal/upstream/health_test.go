package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a wrong state of an upstream, one row per rule.
func TestHealthTransitions(t *testing.T) {
	live := Health{}.ObserveResponse(at(0), "a", false)
	rows := []struct {
		name   string
		health Health
		now    float64
		want   State
	}{
		{"nothing known", Health{}, 0, StateLive},
		{"refused connection", live.ObserveUnreachable(at(1)), 1, StateDown},
		{"late response from before the failure", live.ObserveUnreachable(at(1)).ObserveResponse(at(0.5), "a", false), 1, StateDown},
		{"response after the failure", live.ObserveUnreachable(at(1)).ObserveResponse(at(2), "a", false), 2, StateLive},
		{"one unanswered poll", live.ObservePollTimeout(at(1)), 1, StateLive},
		{"two unanswered polls", live.ObservePollTimeout(at(1)).ObservePollTimeout(at(2)), 2, StateDown},
		{"unanswered poll of a suspected upstream", live.Suspect(at(0.5)).ObservePollTimeout(at(1)), 1, StateDown},
		{"own failure against a peer's contact", live.ObserveUnreachable(at(1)).ObservePeerResponse(at(2), "a", false), 2, StateDown},
		{"one cut-off watcher", live.ObservePeerResponse(at(9), "a", false).ObservePeerFailure(time.Time{}, at(10)), 10, StateLive},
		{"all watchers fail", live.ObservePeerResponse(at(9), "a", false).ObservePeerFailure(time.Time{}, at(12)), 12, StateDown},
		{"confirmed crash", live.ObservePeerResponse(at(9), "a", false).ObserveCrash(at(9.5), "a"), 10, StateDown},
		{"crash of a former process", live.ObservePeerResponse(at(9), "b", false).ObserveCrash(at(9.5), "a"), 10, StateLive},
		{"new process after a crash", live.ObserveCrash(at(1), "a").ObservePeerResponse(at(2), "b", false), 2, StateLive},
		{"new process after an own failure", live.ObserveUnreachable(at(1)).ObservePeerResponse(at(2), "b", false), 2, StateLive},
		{"leaving response", live.ObserveLeaving(at(1), "a"), 1, StateLeaving},
		{"lagging report after a leaving response", live.ObserveLeaving(at(1), "a").ObserveResponse(at(3), "a", false), 3, StateLeaving},
		{"lagging list after a leaving response", live.ObserveLeaving(at(1), "a").ObserveListed(platform.StateLive, at(5)), 5, StateLeaving},
		{"restart after leaving", live.ObserveLeaving(at(1), "a").ObserveResponse(at(3), "b", false), 3, StateLive},
		{"old mark after a restart", live.ObserveResponse(at(3), "b", false).ObserveLeaving(at(4), "a"), 4, StateLive},
		{"mark without a process from before a restart", live.ObserveResponse(at(3), "b", false).ObserveLeaving(at(2), ""), 4, StateLive},
		{"former process responds to this instance again", live.ObservePeerResponse(at(3), "b", false).ObserveLeaving(at(3), "b").ObserveResponse(at(4), "a", false), 4, StateLive},
		{"late contact of a former process", live.ObservePeerResponse(at(3), "b", false).ObserveLeaving(at(3), "b").ObservePeerResponse(at(4), "a", false), 4, StateLeaving},
		{"listed as leaving", live.ObserveListed(platform.StateLeaving, at(1)), 1, StateLeaving},
		{"listed as live again", live.ObserveListed(platform.StateLeaving, at(1)).ObserveListed(platform.StateLive, at(2)), 2, StateLive},
		{"older copy of the list", live.ObserveListed(platform.StateLeaving, at(2)).ObserveListed(platform.StateLive, at(1)), 2, StateLeaving},
		{"old list entry after a restart", live.ObserveResponse(at(3), "b", false).ObserveListed(platform.StateLeaving, at(2)), 4, StateLive},
		{"mark of an unknown process, lagging report", Health{}.ObserveLeaving(at(1), "").ObserveResponse(at(30), "a", false), 30, StateLeaving},
		{"mark of an unknown process, refuted after its lifetime", Health{}.ObserveLeaving(at(1), "").ObserveResponse(at(70), "a", false), 70, StateLive},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			NewWithT(t).Expect(row.health.State(at(row.now))).To(Equal(row.want))
		})
	}
}

// drawTransition applies a random transition for the process "a" or from a
// lagging source.
func drawTransition(t *rapid.T, health Health, time time.Time) Health {
	switch rapid.IntRange(0, 7).Draw(t, "update") {
	case 0:
		return health.ObserveResponse(time, "a", false)
	case 1:
		return health.ObservePeerResponse(time, "a", false)
	case 2:
		return health.ObserveUnreachable(time)
	case 3:
		return health.ObservePollTimeout(time)
	case 4:
		return health.ObservePeerFailure(at(0), time)
	case 5:
		return health.ObserveListed(platform.StateLive, time)
	case 6:
		return health.Suspect(time)
	default:
		return health.ObserveCrash(time, "a")
	}
}

// Guards against late or lagging updates that end the leaving mark of a running
// process (P6).
func TestLeavingIsEndedOnlyByRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		health := Health{}.ObserveResponse(at(0), "a", false).ObserveLeaving(at(10), "a")
		for range rapid.IntRange(1, 20).Draw(t, "count") {
			second := rapid.Float64Range(0, 600).Draw(t, "second")
			health = drawTransition(t, health, at(second))
			if health.State(at(second)) != StateLeaving {
				t.Fatalf("leaving mark was lost: %+v", health)
			}
		}
		if state := health.ObserveResponse(at(601), "b", false).State(at(601)); state != StateLive {
			t.Fatalf("state after a restart is %s", state)
		}
	})
}

// Guards against a delay of the failure that proves an upstream down to all
// instances, caused by another watcher's failure sent less than a second before.
func TestDecisiveFailureIsSentImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(1, "sapporo")
		c := newCluster(h, 1, 1)
		defer c.stop()
		time.Sleep(2 * time.Second)
		u, id := c.instances[0], contract.UpstreamID("sapporo-0")
		u.write(func(w *writer, now time.Time) {
			lastSuccess := now.Add(-peerDownGrace - time.Millisecond)
			edited := w.edit(id)
			edited.health.OwnContact, edited.health.peersUpAt = Contact{Up: true, At: lastSuccess}, time.Time{}
			// The other watcher's first failure is slightly too early to prove
			// the upstream down.
			other := FailureEntry{Upstream: id, AtMS: now.Add(-500 * time.Millisecond).UnixMilli(), SinceMS: lastSuccess.UnixMilli()}
			putChange(w.changeLog, w.changeLog.failures, id, other, "instance-1")
			w.recordPollTimeout(id, now)
			g.Expect(w.changeLog.failures[id].value.AtMS).To(Equal(now.UnixMilli()))
		})
	})
}
