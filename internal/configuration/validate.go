package configuration

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Validate checks references between the parts of a document, which the schema
// cannot express. The error is a *ValidationError. For a document with several faults it
// is always the same one.
func Validate(d Document) error {
	for _, check := range []func(Document) *ValidationError{validateUpstreams, validateServices, validateRules} {
		if fault := check(d); fault != nil {
			return fault
		}
	}
	return nil
}

func validateUpstreams(d Document) *ValidationError {
	owners := map[netip.AddrPort]contract.UpstreamID{}
	for _, id := range sortedKeys(d.Upstreams) {
		path := "upstreams." + string(id) + ".address"
		address, fault := parseAddress(path, d.Upstreams[id].Address)
		if fault != nil {
			return fault
		}
		if other, ok := owners[address]; ok {
			return &ValidationError{Path: path, Reason: "is also the address of upstream " + string(other)}
		}
		owners[address] = id
	}
	return nil
}

func parseAddress(path, text string) (netip.AddrPort, *ValidationError) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, &ValidationError{Path: path, Reason: "must be an IP address and a port, such as 127.0.0.1:8001"}
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		return address, &ValidationError{Path: path, Reason: "must name a specific IP address and a port from 1 to 65535"}
	}
	return address, nil
}

func validateServices(d Document) *ValidationError {
	for _, id := range sortedKeys(d.Services) {
		path := "services." + string(id)
		service := d.Services[id]
		if fault := validateService(path, service); fault != nil {
			return fault
		}
		for i, upstream := range service.Upstreams {
			if fault := validateServiceUpstream(indexPath(path+".upstreams", i), d, service, upstream); fault != nil {
				return fault
			}
		}
	}
	return nil
}

func validateService(path string, s Service) *ValidationError {
	if s.Kind == KindEngine && s.Model == "" {
		return &ValidationError{Path: path + ".model", Reason: "is required for kind engine"}
	}
	if s.Kind == KindEngine && s.ModelVersion == "" {
		return &ValidationError{Path: path + ".model_version", Reason: "is required for kind engine"}
	}
	if s.Kind == KindService && s.Model+s.ModelVersion+s.Adapter != "" {
		return &ValidationError{Path: path, Reason: "model, model_version and adapter apply to kind engine only"}
	}
	if s.Kind == KindService && s.LossHeadroom != "" {
		return &ValidationError{Path: path + ".loss_headroom", Reason: "applies to kind engine only"}
	}
	if s.QueueMS > 0 && s.DeadlineMS > 0 && s.QueueMS > s.DeadlineMS {
		return &ValidationError{Path: path + ".queue_ms", Reason: "must not exceed deadline_ms"}
	}
	return nil
}

func validateServiceUpstream(path string, d Document, s Service, id contract.UpstreamID) *ValidationError {
	upstream, ok := d.Upstreams[id]
	if !ok {
		return &ValidationError{Path: path, Reason: "upstream " + string(id) + " does not exist"}
	}
	if upstream.Kind != s.Kind {
		return &ValidationError{Path: path, Reason: "upstream " + string(id) + " is of kind " + string(upstream.Kind) +
			", the service of kind " + string(s.Kind)}
	}
	return nil
}

// binding is the workspace and the service of a rule. Two rules for one binding
// would contradict each other.
type binding struct {
	workspace contract.WorkspaceID
	service   contract.ServiceID
}

func validateRules(d Document) *ValidationError {
	owners := map[binding]string{}
	for _, id := range sortedKeys(d.Rules) {
		rule := d.Rules[id]
		path := "rules." + id
		if fault := validateRule(path, d, rule); fault != nil {
			return fault
		}
		pair := binding{rule.Workspace, rule.Service}
		if other, ok := owners[pair]; ok {
			return &ValidationError{Path: path, Reason: "rule " + other + " already ties this workspace to this service"}
		}
		owners[pair] = id
	}
	return nil
}

func validateRule(path string, d Document, rule Rule) *ValidationError {
	if _, ok := d.Workspaces[rule.Workspace]; !ok {
		return &ValidationError{Path: path + ".workspace", Reason: "workspace " + string(rule.Workspace) + " does not exist"}
	}
	service, ok := d.Services[rule.Service]
	if !ok {
		return &ValidationError{Path: path + ".service", Reason: "service " + string(rule.Service) + " does not exist"}
	}
	for i, upstream := range rule.Upstreams {
		if !slices.Contains(service.Upstreams, upstream) {
			return &ValidationError{Path: indexPath(path+".upstreams", i),
				Reason: "upstream " + string(upstream) + " is not one of service " + string(rule.Service)}
		}
	}
	return nil
}

func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
