package testcluster

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// EngineID returns the upstream ID of engine i in the configuration.
func EngineID(i int) contract.UpstreamID {
	return contract.UpstreamID(fmt.Sprintf("drafting-%02d", i))
}

func serviceUpstreamID(i int) contract.UpstreamID {
	return contract.UpstreamID(fmt.Sprintf("storefront-%02d", i))
}

// document returns the configuration of the cluster, with the adjustments of the options.
func (c *Cluster) document() configuration.Document {
	d := configuration.Document{
		Upstreams: map[contract.UpstreamID]configuration.Upstream{},
		Workspaces: map[contract.WorkspaceID]configuration.Workspace{
			Workspace:      {RequestsPerSecond: 1e6, ConcurrentGenerations: 1e6},
			OtherWorkspace: {RequestsPerSecond: 1e6, ConcurrentGenerations: 1e6},
		},
		Rules: map[string]configuration.Rule{},
	}
	var engines, services []contract.UpstreamID
	for i, p := range c.Engines {
		engines = append(engines, EngineID(i))
		d.Upstreams[EngineID(i)] = configuration.Upstream{
			Kind: configuration.KindEngine, Address: p.Address, FailureDomain: domains[i%len(domains)], Slots: c.options.Slots,
		}
	}
	for i, p := range c.Services {
		services = append(services, serviceUpstreamID(i))
		d.Upstreams[serviceUpstreamID(i)] = configuration.Upstream{
			Kind: configuration.KindService, Address: p.Address, FailureDomain: domains[i%len(domains)],
		}
	}
	d.Services = map[contract.ServiceID]configuration.Service{
		GenerationService: {
			Kind: configuration.KindEngine, Model: Model, ModelVersion: ModelVersion,
			ResumePolicy: c.options.ResumePolicy, LossHeadroom: c.options.LossHeadroom, Upstreams: engines,
		},
		ChargeService: {Kind: configuration.KindService, Upstreams: services},
		LookupService: {Kind: configuration.KindService, Idempotent: true, Upstreams: services},
	}
	for workspace := range d.Workspaces {
		for service := range d.Services {
			d.Rules[string(workspace)+"-"+string(service)] = configuration.Rule{Workspace: workspace, Service: service}
		}
	}
	if c.options.AdjustDocument != nil {
		c.options.AdjustDocument(c, &d)
	}
	return d
}

// putDocument submits the configuration as the first version and waits until it
// is in force on each instance.
func (c *Cluster) putDocument(ctx context.Context) error {
	connection, err := c.Client()
	if err != nil {
		return err
	}
	patch, err := configuration.EncodeDocument(c.document())
	if err != nil {
		return err
	}
	request := &oas.PatchRequest{PatchID: oas.Key(contract.NewKey()), Patch: patch}
	var result *oas.PatchResult
	err = Await(ctx, func() bool {
		result, err = connection.NextEndpoint().SubmitPatch(ctx, request)
		return err == nil && (result.Status == oas.PatchResultStatusAccepted || result.Status == oas.PatchResultStatusInvalid)
	})
	if err != nil || result.Status != oas.PatchResultStatusAccepted {
		return errors.Newf("configuration was not accepted: %v %+v", err, result)
	}
	return c.AwaitVersion(ctx, result.Version)
}

// AwaitVersion waits until at least version is in force on each running instance.
func (c *Cluster) AwaitVersion(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range c.Instances {
		var response struct {
			Version int64 `json:"version"`
		}
		err := Await(ctx, func() bool {
			return p.ExitCode() >= 0 || GetJSON(ctx, p.URL()+"/v1/configuration", &response) == nil && response.Version >= version
		})
		if err != nil {
			return errors.Wrapf(err, "%s has version %d, not %d", p.Name, response.Version, version)
		}
	}
	return nil
}
