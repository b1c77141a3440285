package testfleet

import (
	"encoding/json"
	"fmt"
	"maps"
)

// Names in the configuration of a fleet: services, workspace, host and API key.
const (
	EngineService = "engines"
	PlainService  = "plain"
	Workspace     = "workspace-1"
	Host          = "host.example"
	apiKey        = "key-1"
)

// Configuration is the routing configuration that the operator writes to the store.
// Its fields have the names that the platform prescribes.
type Configuration struct {
	Version  int64            `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Tenants  []map[string]any `json:"tenants"`
}

// baseRoutes is the number of routes in baseConfiguration, which RemoveRoute keeps.
const baseRoutes = 3

func baseConfiguration(slots int) Configuration {
	newRoute := func(name, routeType, service string, overrides map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": Host, "prefix": "/" + name + "/", "route_type": routeType, "service": service,
			"timeout_ms": 20000, "latency_goal_ms": 300, "max_attempts": 2,
		}
		maps.Copy(r, overrides)
		return r
	}
	return Configuration{
		Version: 1,
		Routes: []map[string]any{
			newRoute("draft", "streaming", EngineService, map[string]any{"resumable": true, "max_attempts": 8, "gap_target_ms": 700, "latency_goal_ms": 4500}),
			newRoute("book", "non_idempotent", PlainService, map[string]any{"timeout_ms": 2000, "max_attempts": 1}),
			newRoute("read", "idempotent", PlainService, map[string]any{"timeout_ms": 2000}),
		},
		Services: []map[string]any{
			{"name": EngineService, "health_path": "/healthz", "engine": map[string]any{"slots": slots, "kv_tokens": 88000, "backups": true, "handle_s": 4.0}},
			{"name": PlainService, "health_path": "/healthz"},
		},
		Tenants: []map[string]any{{"name": Workspace, "api_keys": []string{apiKey}}},
	}
}

// WriteConfiguration writes the configuration to the store under a higher version.
func (f *Fleet) WriteConfiguration() error {
	f.mu.Lock()
	f.configuration.Version += 3
	value, err := json.Marshal(f.configuration)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	return f.WriteRow("op", "config", value)
}

// AddRoute adds a route to the configuration. WriteConfiguration puts it in force.
func (f *Fleet) AddRoute() {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := maps.Clone(f.configuration.Routes[baseRoutes-1])
	r["name"] = fmt.Sprintf("added-%d", f.configuration.Version)
	r["prefix"] = fmt.Sprintf("/added-%d/", f.configuration.Version)
	f.configuration.Routes = append(f.configuration.Routes, r)
}

// RemoveRoute removes the route that was added last, if there is one.
func (f *Fleet) RemoveRoute() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last := len(f.configuration.Routes) - 1; last >= baseRoutes {
		f.configuration.Routes = f.configuration.Routes[:last]
	}
}

// AddedRoutePrefixes returns the path prefixes of the routes that were added and not removed.
func (f *Fleet) AddedRoutePrefixes() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var prefixes []string
	for _, r := range f.configuration.Routes[baseRoutes:] {
		prefixes = append(prefixes, r["prefix"].(string))
	}
	return prefixes
}
