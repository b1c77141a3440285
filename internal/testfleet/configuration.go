package testfleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Names in the configuration of a fleet: services, workspace, host and API key.
const (
	EngineService = "engines"
	PlainService  = "plain"
	Workspace     = "workspace-1"
	Host          = "host.example"
	apiKey        = "key-1"
)

// Routes to the engine service, by what a gateway may do with a stream that breaks off.
// The name of a route is also its path prefix.
const (
	ResumableRoute     = "draft"
	NotResumableRoute  = "dictate"
	SingleAttemptRoute = "jot" // resumable, but with only one attempt
)

// Configuration is the routing configuration that the operator writes to the store.
// Its fields have the names that the platform prescribes.
type Configuration struct {
	Version  int64            `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Tenants  []map[string]any `json:"tenants"`
	Limits   map[string]any   `json:"limits,omitempty"`
}

// baseRoutes is the number of routes in baseConfiguration, which RemoveRoute keeps.
const baseRoutes = 5

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
			newRoute(ResumableRoute, "streaming", EngineService, map[string]any{"resumable": true, "max_attempts": 8, "gap_target_ms": 700, "latency_goal_ms": 4500}),
			newRoute(NotResumableRoute, "streaming", EngineService, map[string]any{"gap_target_ms": 700, "latency_goal_ms": 4500}),
			newRoute(SingleAttemptRoute, "streaming", EngineService, map[string]any{"resumable": true, "max_attempts": 1, "gap_target_ms": 700, "latency_goal_ms": 4500}),
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

// versionStep is the difference of two versions of the configuration.
const versionStep = 3

// WriteConfiguration writes the configuration to the store under a higher version.
func (f *Fleet) WriteConfiguration() error {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.mu.Lock()
	f.configuration.Version += versionStep
	value, err := json.Marshal(f.configuration)
	f.written = value
	f.mu.Unlock()
	if err != nil {
		return err
	}
	return f.WriteRow("op", "config", value)
}

// RewriteConfiguration writes the configuration again as it was last written.
func (f *Fleet) RewriteConfiguration() error {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.mu.Lock()
	value := f.written
	f.mu.Unlock()
	return f.WriteRow("op", "config", value)
}

// RouteChange states which versions of the configuration have an added route.
type RouteChange struct {
	Prefix string
	From   int64 // first version with the route
	Until  int64 // first version without it after that; 0: none
}

// RouteChanges returns the routes that were added, also removed ones.
func (f *Fleet) RouteChanges() []RouteChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routeChanges)
}

// AddRoute adds a route to the configuration. WriteConfiguration puts it in force.
func (f *Fleet) AddRoute() {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := maps.Clone(f.configuration.Routes[baseRoutes-1])
	r["name"] = fmt.Sprintf("added-%d", f.configuration.Version)
	r["prefix"] = fmt.Sprintf("/added-%d/", f.configuration.Version)
	f.configuration.Routes = append(f.configuration.Routes, r)
	f.routeChanges = append(f.routeChanges, RouteChange{Prefix: r["prefix"].(string), From: f.configuration.Version + versionStep})
}

// RemoveRoute removes the route that was added last, if there is one.
func (f *Fleet) RemoveRoute() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last := len(f.configuration.Routes) - 1; last >= baseRoutes {
		for i := range f.routeChanges {
			if change := &f.routeChanges[i]; change.Prefix == f.configuration.Routes[last]["prefix"] && change.Until == 0 {
				change.Until = f.configuration.Version + versionStep
			}
		}
		f.configuration.Routes = f.configuration.Routes[:last]
	}
}

// SetTimeouts sets the timeout of all routes. WriteConfiguration puts it in force.
func (f *Fleet) SetTimeouts(timeout time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.configuration.Routes {
		changed := maps.Clone(r)
		changed["timeout_ms"] = timeout.Milliseconds()
		f.configuration.Routes[i] = changed
	}
}

// ChangeTimeouts sets the timeouts and goals of all routes to 1 to 1.5 times their first values,
// so that no timeout is shorter than the deadlines of callers. factor is from [0, 1).
func (f *Fleet) ChangeTimeouts(factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	base := baseConfiguration(f.Slots).Routes
	for i := range baseRoutes {
		changed := maps.Clone(base[i])
		for _, name := range []string{"timeout_ms", "latency_goal_ms", "gap_target_ms"} {
			if value, ok := changed[name].(int); ok {
				changed[name] = int((1 + factor/2) * float64(value))
			}
		}
		f.configuration.Routes[i] = changed
	}
}

// ChangeLimits sets the limits, with an idle timeout that no caller reaches. factor is from [0, 1).
func (f *Fleet) ChangeLimits(factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuration.Limits = map[string]any{
		"max_header_bytes": int(16_384 * (1 + factor)), "max_body_bytes": int(4_194_304 * (1 + factor)),
		"header_timeout_ms": int(3000 * (1 + factor)), "idle_timeout_ms": int(1500 + 15_000*factor),
	}
}

// ChangeKeys replaces the further API keys of the workspace and adds or removes another workspace.
func (f *Fleet) ChangeKeys() {
	f.mu.Lock()
	defer f.mu.Unlock()
	further := fmt.Sprintf("key-of-%d", f.configuration.Version)
	tenants := []map[string]any{{"name": Workspace, "api_keys": []string{apiKey, further}}}
	if len(f.configuration.Tenants) == 1 {
		tenants = append(tenants, map[string]any{"name": "workspace-2", "api_keys": []string{"another-" + further}})
	}
	f.configuration.Tenants = tenants
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
