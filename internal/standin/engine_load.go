package standin

import (
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/upstream"
)

// loadReportRetention is how long load reports are kept. It bounds the lag.
const loadReportRetention = time.Minute

// loadReportHistory keeps past load reports, so that reports can be returned with
// a lag. It is not safe for concurrent use.
type loadReportHistory struct {
	history []timedReport
}

type timedReport struct {
	at     time.Time
	report upstream.LoadReport
}

// record adds the current report and removes expired ones.
func (h *loadReportHistory) record(now time.Time, report upstream.LoadReport) {
	h.history = append(h.history, timedReport{at: now, report: report})
	kept := 0
	for kept+1 < len(h.history) && now.Sub(h.history[kept+1].at) > loadReportRetention {
		kept++
	}
	h.history = slices.Delete(h.history, 0, kept)
}

// at returns the report that was current at time t, or the oldest one kept.
func (h *loadReportHistory) at(t time.Time) upstream.LoadReport {
	for _, entry := range slices.Backward(h.history) {
		if !entry.at.After(t) {
			return entry.report
		}
	}
	return h.history[0].report
}
