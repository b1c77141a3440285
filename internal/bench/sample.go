package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"

	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// Metrics of an instance.
const (
	metricBytesIn           = "foxtailhub_link_bytes_in_total"
	metricBytesOut          = "foxtailhub_link_bytes_out_total"
	metricMessagesIn        = "foxtailhub_link_messages_in_total"
	metricMessagesOut       = "foxtailhub_link_messages_out_total"
	metricHeartbeatBytesOut = "foxtailhub_heartbeat_bytes_out_total"
)

// scrapeMetrics reads the metrics of an instance, summed over their labels.
func scrapeMetrics(ctx context.Context, p *testcluster.Process) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL()+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close() //nolint:errcheck // it was read
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "metrics of %s", p.Name)
	}
	values := map[string]float64{}
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			values[name] += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return values, nil
}

// usage is the resource usage of one process over a window.
type usage struct {
	cpu      float64 // share of a core, percent
	resident float64 // MB at the end of the window
	metrics  map[string]float64
}

// window measures processes over a period from samples at its start and end.
type window struct {
	processes []*testcluster.Process
	started   time.Time
	cpu       []time.Duration
	metrics   []map[string]float64
}

// openWindow starts a window. Only instances have metrics.
func openWindow(ctx context.Context, processes []*testcluster.Process, withMetrics bool) (*window, error) {
	w := &window{processes: processes, started: time.Now()}
	for _, p := range processes {
		metrics := map[string]float64{}
		var err error
		if withMetrics {
			if metrics, err = scrapeMetrics(ctx, p); err != nil {
				return nil, err
			}
		}
		used, err := p.CPUTime()
		if err != nil {
			return nil, err
		}
		w.cpu, w.metrics = append(w.cpu, used), append(w.metrics, metrics)
	}
	return w, nil
}

// close ends the window and returns the usage of each process.
func (w *window) close(ctx context.Context) ([]usage, time.Duration, error) {
	elapsed := time.Since(w.started)
	var all []usage
	for i, p := range w.processes {
		used, err := p.CPUTime()
		if err != nil {
			return nil, 0, err
		}
		resident, err := p.ResidentBytes()
		if err != nil {
			return nil, 0, err
		}
		u := usage{
			cpu:      100 * (used - w.cpu[i]).Seconds() / elapsed.Seconds(),
			resident: float64(resident) / 1e6,
			metrics:  map[string]float64{},
		}
		if len(w.metrics[i]) > 0 {
			now, err := scrapeMetrics(ctx, p)
			if err != nil {
				return nil, 0, err
			}
			for name, value := range now {
				u.metrics[name] = (value - w.metrics[i][name]) / elapsed.Seconds()
			}
		}
		all = append(all, u)
	}
	return all, elapsed, nil
}

// meanOver returns the mean of a figure over processes.
func meanOver(all []usage, figure func(usage) float64) float64 {
	var values []float64
	for _, u := range all {
		values = append(values, figure(u))
	}
	return mean(values)
}

func platformCounters(ctx context.Context, cluster *testcluster.Cluster) (standin.PlatformCounters, error) {
	var c standin.PlatformCounters
	return c, testcluster.GetJSON(ctx, cluster.Platform.URL()+"/counters", &c)
}

var errNotCompleted = errors.New("call was not completed")

// ownCPU returns the processor time used by this process.
func ownCPU() (time.Duration, error) {
	own, err := procfs.Self()
	if err != nil {
		return 0, err
	}
	stat, err := own.Stat()
	if err != nil {
		return 0, err
	}
	return time.Duration(stat.CPUTime() * float64(time.Second)), nil
}
