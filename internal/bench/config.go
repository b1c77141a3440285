package bench

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// configMeasurement measures the time from the submission of a patch until it
// is active at each instance.
type configMeasurement struct {
	instances    intList
	patches      int
	pollInterval time.Duration
	settleTime   time.Duration
}

func (m *configMeasurement) flags(set *flag.FlagSet) {
	m.instances = intList{3, 9, 20, 40}
	set.Var(&m.instances, "instances", "numbers of instances")
	set.IntVar(&m.patches, "patches", 10, "patches, one after the other")
	set.DurationVar(&m.settleTime, "settle", 5*time.Second, "time before the first patch: a new instance needs news of a majority")
	set.DurationVar(&m.pollInterval, "poll", 10*time.Millisecond, "time between two looks at an instance")
}

func (m *configMeasurement) run(ctx context.Context, e *environment) error {
	var rows [][]any
	for _, n := range m.instances {
		cluster, err := e.start(ctx, testcluster.Options{Instances: n})
		if err != nil {
			return err
		}
		if err = waitFor(ctx, m.settleTime); err != nil {
			return err
		}
		accepted, inForce, everywhere := newDurations(), newDurations(), newDurations()
		for i := range m.patches {
			if err = m.patch(ctx, cluster, i, accepted, inForce, everywhere); err != nil {
				break
			}
		}
		cluster.Close()
		if err != nil {
			return err
		}
		e.logf("%d instances: everywhere p50=%.0f max=%.0f ms", n, everywhere.percentileMS(50), everywhere.maxMS())
		rows = append(rows, []any{
			n, m.patches, accepted.percentileMS(50), accepted.maxMS(), inForce.percentileMS(50), inForce.percentileMS(95), inForce.maxMS(), everywhere.percentileMS(50), everywhere.maxMS(),
		})
	}
	e.report.add("time from the submission of a patch", []string{
		"instances", "patches", "accepted p50 ms", "accepted max ms", "in force p50 ms", "p95 ms", "max ms", "everywhere p50 ms", "everywhere max ms",
	}, rows)
	return nil
}

// patch submits one patch and polls all instances until it is active.
func (m *configMeasurement) patch(
	ctx context.Context, cluster *testcluster.Cluster, number int, accepted, inForce, everywhere durations,
) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	c, err := cluster.Client()
	if err != nil {
		return err
	}
	var head struct {
		Version int64 `json:"version"`
	}
	if err := testcluster.GetJSON(ctx, cluster.Instances[0].URL()+"/v1/configuration", &head); err != nil {
		return err
	}
	patch := fmt.Appendf(nil, `{"workspaces":{"%s":{"weight":%d}}}`, testcluster.OtherWorkspace, 2+number)
	submitted := time.Now()
	result, err := c.NextEndpoint().SubmitPatch(ctx, &oas.PatchRequest{
		PatchID: oas.Key(contract.NewKey()), BaseVersion: head.Version, Patch: patch,
	})
	if err != nil {
		return err
	}
	if result.Status != oas.PatchResultStatusAccepted {
		return errors.Newf("patch was not accepted: %+v", result)
	}
	accepted.record(time.Since(submitted))
	return m.awaitActive(ctx, cluster, result.Version, submitted, inForce, everywhere)
}

func (m *configMeasurement) awaitActive(
	ctx context.Context, cluster *testcluster.Cluster, version int64, submitted time.Time, inForce, everywhere durations,
) error {
	times := make([]time.Duration, len(cluster.Instances))
	var group sync.WaitGroup
	for i, instance := range cluster.Instances {
		group.Go(func() {
			var current struct {
				Version int64 `json:"version"`
			}
			for ctx.Err() == nil {
				if testcluster.GetJSON(ctx, instance.URL()+"/v1/configuration", &current) == nil && current.Version >= version {
					times[i] = time.Since(submitted)
					return
				}
				_ = waitFor(ctx, m.pollInterval) // the loop checks ctx
			}
		})
	}
	group.Wait()
	if ctx.Err() != nil {
		return errors.Wrapf(ctx.Err(), "version %d is not active on every instance", version)
	}
	longest := time.Duration(0)
	for _, t := range times {
		inForce.record(t)
		longest = max(longest, t)
	}
	everywhere.record(longest)
	return nil
}
