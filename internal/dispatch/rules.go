package dispatch

import (
	"sync/atomic"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

type ruleKey struct {
	workspace contract.WorkspaceID
	service   contract.ServiceID
}

// ruleIndex maps a workspace and service to their rule in one snapshot of the
// configuration.
type ruleIndex struct {
	snapshot *configuration.Snapshot
	rules    map[ruleKey]configuration.Rule
}

// rules caches the rule index of the current configuration.
type rules struct {
	source configuration.Source
	index  atomic.Pointer[ruleIndex]
}

func (r *rules) current() *ruleIndex {
	snapshot := r.source.Current()
	index := r.index.Load()
	if index != nil && index.snapshot == snapshot {
		return index
	}
	index = &ruleIndex{snapshot: snapshot, rules: map[ruleKey]configuration.Rule{}}
	for _, rule := range snapshot.Document.Rules {
		index.rules[ruleKey{rule.Workspace, rule.Service}] = rule
	}
	r.index.Store(index)
	return index
}

// lookup returns the service and the priority of the workspace's calls to it, or
// the reason why the workspace may not call it.
func (r *rules) lookup(workspace contract.WorkspaceID, service contract.ServiceID) (configuration.Service, upstream.Priority, contract.Reason) {
	index := r.current()
	document := index.snapshot.Document
	if _, ok := document.Workspaces[workspace]; !ok {
		return configuration.Service{}, 0, contract.ReasonUnknownWorkspace
	}
	s, ok := document.Services[service]
	if !ok || s.Kind != configuration.KindService {
		return configuration.Service{}, 0, contract.ReasonUnknownService
	}
	rule, ok := index.rules[ruleKey{workspace, service}]
	if !ok {
		return configuration.Service{}, 0, contract.ReasonUnknownService
	}
	if rule.Priority == "batch" {
		return s, upstream.PriorityBatch, ""
	}
	return s, upstream.PriorityInteractive, ""
}
