package bench

import (
	"context"
	"flag"
	"fmt"
	"time"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// controlMeasurement measures the cost of idle instances as a function of their
// number.
type controlMeasurement struct {
	instances          intList
	settleTime, window time.Duration
}

func (m *controlMeasurement) flags(set *flag.FlagSet) {
	m.instances = intList{3, 6, 9, 20, 40}
	set.Var(&m.instances, "instances", "numbers of instances")
	set.DurationVar(&m.settleTime, "settle", 10*time.Second, "time before the window")
	set.DurationVar(&m.window, "window", 10*time.Second, "length of the window")
}

// idleCost is the mean cost of one idle instance.
type idleCost struct {
	bytes, heartbeatBytes, messages float64 // per second, both directions (heartbeats: sent only)
	cpu, resident                   float64
	reads, writes, platformBytes    float64 // per second
}

var idleColumns = []string{
	"link B/s in+out", "max", "heartbeat B/s out", "messages/s in+out", "platform reads/s", "platform writes/s", "platform B/s", "cpu % of a core", "max", "resident MB", "max",
}

// measureIdle measures the instances of a cluster without load and returns the
// cost and the cells of idleColumns.
func measureIdle(ctx context.Context, cluster *testcluster.Cluster, settleTime, length time.Duration) (idleCost, []any, error) {
	if err := waitFor(ctx, settleTime); err != nil {
		return idleCost{}, nil, err
	}
	before, err := platformCounters(ctx, cluster)
	if err != nil {
		return idleCost{}, nil, err
	}
	w, err := openWindow(ctx, cluster.Instances, true)
	if err != nil {
		return idleCost{}, nil, err
	}
	if err := waitFor(ctx, length); err != nil {
		return idleCost{}, nil, err
	}
	all, _, err := w.close(ctx)
	if err != nil {
		return idleCost{}, nil, err
	}
	after, err := platformCounters(ctx, cluster)
	if err != nil {
		return idleCost{}, nil, err
	}
	perInstance := func(delta int64) float64 {
		return float64(delta) / time.Since(w.started).Seconds() / float64(len(all))
	}
	bytes := func(u usage) float64 { return u.metrics[metricBytesIn] + u.metrics[metricBytesOut] }
	c := idleCost{
		bytes:          meanOver(all, bytes),
		heartbeatBytes: meanOver(all, func(u usage) float64 { return u.metrics[metricHeartbeatBytesOut] }),
		messages:       meanOver(all, func(u usage) float64 { return u.metrics[metricMessagesIn] + u.metrics[metricMessagesOut] }),
		cpu:            meanOver(all, func(u usage) float64 { return u.cpu }),
		resident:       meanOver(all, func(u usage) float64 { return u.resident }),
		reads:          perInstance(after.Reads - before.Reads),
		writes:         perInstance(after.Writes - before.Writes),
		platformBytes:  perInstance(after.RequestBytes + after.ResponseBytes - before.RequestBytes - before.ResponseBytes),
	}
	var maxBytes, maxCPU, maxResident float64
	for _, u := range all {
		maxBytes, maxCPU, maxResident = max(maxBytes, bytes(u)), max(maxCPU, u.cpu), max(maxResident, u.resident)
	}
	return c, []any{
		c.bytes, maxBytes, c.heartbeatBytes, c.messages, c.reads, c.writes, c.platformBytes, c.cpu, maxCPU, c.resident, maxResident,
	}, nil
}

func (m *controlMeasurement) run(ctx context.Context, e *environment) error {
	var rows [][]any
	var counts []float64
	var costs []idleCost
	for _, n := range m.instances {
		cluster, err := e.start(ctx, testcluster.Options{Instances: n})
		if err != nil {
			return err
		}
		c, cells, err := measureIdle(ctx, cluster, m.settleTime, m.window)
		cluster.Close()
		if err != nil {
			return err
		}
		e.logf("%d instances: %+v", n, c)
		counts, costs = append(counts, float64(n)), append(costs, c)
		rows = append(rows, append([]any{n}, cells...))
	}
	e.report.add("cost per idle instance (mean; max over instances)", append([]string{"instances"}, idleColumns...), rows)
	e.report.add("slope per further instance, fitted to all rows, and to those above 9 instances (8 peers each)",
		fitColumns, append(fitRows("all", counts, costs, 0), fitRows("above 9", counts, costs, 9)...))
	return nil
}

var fitColumns = []string{"rows", "figure", "intercept", "slope"}

// fitRows fits a line to each figure over the counts greater than lowerBound.
func fitRows(label string, counts []float64, costs []idleCost, lowerBound float64) [][]any {
	figures := []struct {
		name string
		of   func(idleCost) float64
	}{
		{"link B/s", func(c idleCost) float64 { return c.bytes }},
		{"messages/s", func(c idleCost) float64 { return c.messages }},
		{"platform reads/s", func(c idleCost) float64 { return c.reads }},
		{"platform B/s", func(c idleCost) float64 { return c.platformBytes }},
		{"cpu %", func(c idleCost) float64 { return c.cpu }},
		{"resident MB", func(c idleCost) float64 { return c.resident }},
	}
	var rows [][]any
	for _, figure := range figures {
		var x, y []float64
		for i, count := range counts {
			if count > lowerBound {
				x, y = append(x, count), append(y, figure.of(costs[i]))
			}
		}
		if len(x) < 2 {
			continue
		}
		l := fitLine(x, y)
		rows = append(rows, []any{label, figure.name, l.intercept, fmt.Sprintf("%.4f", l.slope)})
	}
	return rows
}

// upstreamsMeasurement measures the cost of idle instances as a function of the
// number of upstreams. A single process serves as all engines.
type upstreamsMeasurement struct {
	instances, upstreams intList
	settle, window       time.Duration
}

func (m *upstreamsMeasurement) flags(set *flag.FlagSet) {
	m.instances, m.upstreams = intList{3, 9}, intList{20, 100, 300}
	set.Var(&m.instances, "instances", "numbers of instances")
	set.Var(&m.upstreams, "upstreams", "numbers of upstreams")
	set.DurationVar(&m.settle, "settle", 10*time.Second, "time before the window")
	set.DurationVar(&m.window, "window", 10*time.Second, "length of the window")
}

func (m *upstreamsMeasurement) run(ctx context.Context, e *environment) error {
	var rows, slopes [][]any
	for _, instances := range m.instances {
		var counts []float64
		var costs []idleCost
		for _, upstreams := range m.upstreams {
			cluster, err := e.start(ctx, testcluster.Options{
				Instances: instances, Engines: 1, Aliases: upstreams - 1, AdjustDocument: addAliases,
			})
			if err != nil {
				return err
			}
			c, cells, err := measureIdle(ctx, cluster, m.settle, m.window)
			cluster.Close()
			if err != nil {
				return err
			}
			e.logf("%d instances, %d upstreams: %+v", instances, upstreams, c)
			counts, costs = append(counts, float64(upstreams)), append(costs, c)
			rows = append(rows, append([]any{instances, upstreams, float64(3*upstreams) / float64(instances)}, cells...))
		}
		slopes = append(slopes, fitRows(fmt.Sprintf("%d instances", instances), counts, costs, 0)...)
	}
	e.report.add("cost per idle instance over the number of upstreams (3 watchers each)",
		append([]string{"instances", "upstreams", "watched"}, idleColumns...), rows)
	e.report.add("slope per upstream", fitColumns, slopes)
	return nil
}

// addAliases adds an upstream for each additional address of engine 0.
func addAliases(cluster *testcluster.Cluster, d *configuration.Document) {
	service := d.Services[testcluster.GenerationService]
	engine := d.Upstreams[testcluster.EngineID(0)]
	domains := []contract.FailureDomainID{"sapporo", "asahikawa", "obihiro"}
	for i, address := range cluster.Aliases {
		id := testcluster.EngineID(i + 1)
		engine.Address, engine.FailureDomain = address, domains[(i+1)%len(domains)]
		d.Upstreams[id] = engine
		service.Upstreams = append(service.Upstreams, id)
	}
	d.Services[testcluster.GenerationService] = service
}
