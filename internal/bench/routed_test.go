package bench

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/testfleet"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against a report that counts a late or lost response as in time, or
// assigns a request to the second in which it ended instead of started.
func TestRoutedWindows(t *testing.T) {
	g := NewWithT(t)
	r := &routedResults{}
	complete := testfleet.StreamResult{Complete: true, TimeToFirstEvent: seconds(1), LongestGap: seconds(0.1)}
	late := complete
	late.LongestGap = seconds(0.8)
	slow := complete
	slow.TimeToFirstEvent = seconds(5)
	r.addStream(seconds(0.2), complete)
	r.addStream(seconds(0.9), late)
	r.addStream(seconds(2.1), slow)
	r.addStream(seconds(2.2), testfleet.StreamResult{FailedAttempts: []testfleet.FailedAttempt{{Outcome: testfleet.Cut}}, Violation: "an event is missing"})
	r.addCall(seconds(0.3), true, testfleet.CallResult{Status: http.StatusOK, Latency: seconds(0.02)})
	r.addCall(seconds(2.9), false, testfleet.CallResult{Status: http.StatusOK, Latency: seconds(0.2)})
	r.addCall(seconds(2.9), false, testfleet.CallResult{Status: http.StatusServiceUnavailable, Latency: seconds(0.001)})

	windows := r.windows()
	g.Expect(windows).To(HaveLen(3))
	g.Expect(windows[0].worth).To(BeNumerically("~", (1+lateWorth+1)/3))
	g.Expect(windows[0].missed).To(Equal(1))
	g.Expect(windows[0].longestPause).To(Equal(late.LongestGap))
	g.Expect(windows[0].longestCall).To(Equal(seconds(0.02)))
	g.Expect(windows[1].requests).To(BeZero())
	g.Expect(windows[2].worth).To(BeNumerically("~", (lateWorth+0+lateWorth+0)/4))
	g.Expect(r.violations).To(ConsistOf("an event is missing"))

	report := &Report{}
	r.report(report)
	g.Expect(report.Tables).To(HaveLen(6))
	for _, format := range []string{"svg", "png", "pdf"} {
		path := filepath.Join(t.TempDir(), "plot."+format)
		g.Expect(plotRouted(path, "title", windows, time.Second)).To(Succeed())
		written, err := os.Stat(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(written.Size()).To(BeNumerically(">", 1000))
	}
}

// Guards against invalid flags that are accepted, so that a measurement fails only
// after it started processes.
func TestRoutedFlags(t *testing.T) {
	g := NewWithT(t)
	valid := routedMeasurement{gateways: 1, domains: 1, enginesEach: 1, events: 1, duration: time.Second, fault: "none"}
	g.Expect(valid.check()).To(Succeed())
	for _, change := range []func(m *routedMeasurement){
		func(m *routedMeasurement) { m.fault = "unknown" },
		func(m *routedMeasurement) { m.plot = "plot.txt" },
		func(m *routedMeasurement) { m.gateways = 0 },
		func(m *routedMeasurement) { m.duration = time.Millisecond },
	} {
		invalid := valid
		change(&invalid)
		g.Expect(invalid.check()).NotTo(Succeed())
	}
}
