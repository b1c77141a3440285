// Package route holds the routes of a deployment: which service a request goes
// to, whether it may be repeated, how long it may take, and which workspace an API
// key belongs to.
//
// The package must never do I/O, and a Table must never change once it is built.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind defines whether a request may be repeated, and how it is answered.
type Kind int

// Kinds of requests.
const (
	AtMostOnce Kind = iota // may run once for each request of the caller
	Idempotent             // may run more than once
	Stream                 // the response is a stream of numbered events
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "at_most_once"
	}
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route ties requests of a host and path prefix to services.
type Route struct {
	Name        string
	Host        string // lower case, without a port
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a stream may be resumed at another upstream
	Targets     []Target      // at least one
	Timeout     time.Duration // of the whole request, until its final response; 0: no bound
	LatencyGoal time.Duration // a response (or first event) within this time has its full value
	GapTarget   time.Duration // longest gap between events of a stream
	MaxAttempts int           // number of upstreams that may run one request
	Priority    int           // 0 is the most urgent
	Public      bool          // no API key is needed
}

// PickService returns the service for a random number from [0, 1), by weight.
func (r *Route) PickService(draw float64) string {
	var total float64
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * total
	for _, target := range r.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes the engines of a service.
type Engine struct {
	Slots         int           // requests that run concurrently
	KVTokens      int           // size of an upstream's KV cache
	HoldsKVCopies bool          // an upstream can hold KV copies of runs on other upstreams
	KVCopyTTL     time.Duration // how long an upstream holds a KV copy
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // per upstream, from all callers together; 0: unknown
	Engine         *Engine // nil for a plain service
}

// Limits bound what a caller may send. Zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a customer, which has API keys.
type Workspace struct {
	Name     string
	Priority *int // replaces the priority of the route; nil: not set
}

// Document is the decoded configuration that a Table is built from.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces map[string]Workspace // by API key; nil: callers need no key
}

// Table is one version of the configuration, indexed for look-ups.
type Table struct {
	Version    int64
	Limits     Limits
	routes     map[string][]*Route // by host, longest prefix first
	services   map[string]*Service
	workspaces map[string]Workspace
	mostUrgent map[string]int // priority of the most urgent requests of each service
}

// NewTable builds the table of a document.
func NewTable(document Document) *Table {
	t := &Table{
		Version:    document.Version,
		Limits:     document.Limits,
		routes:     map[string][]*Route{},
		services:   map[string]*Service{},
		workspaces: document.Workspaces,
		mostUrgent: map[string]int{},
	}
	for i := range document.Routes {
		r := &document.Routes[i]
		t.routes[r.Host] = append(t.routes[r.Host], r)
		for _, target := range r.Targets {
			t.noteUrgency(target.Service, r.Priority)
		}
	}
	for _, w := range t.workspaces {
		if w.Priority == nil {
			continue
		}
		for service := range t.mostUrgent {
			t.noteUrgency(service, *w.Priority)
		}
	}
	for _, routes := range t.routes {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range document.Services {
		t.services[document.Services[i].Name] = &document.Services[i]
	}
	return t
}

func (t *Table) noteUrgency(service string, priority int) {
	if most, known := t.mostUrgent[service]; !known || priority < most {
		t.mostUrgent[service] = priority
	}
}

// IsMostUrgent reports whether no requests of a service are more urgent than those with a priority.
func (t *Table) IsMostUrgent(service string, priority int) bool {
	most, known := t.mostUrgent[service]
	return !known || priority <= most
}

// PriorityOn returns the priority of the workspace's requests on a route.
func (w Workspace) PriorityOn(r *Route) int {
	if w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service of that name, or one with only the name set.
func (t *Table) Service(name string) Service {
	if s, ok := t.services[name]; ok {
		return *s
	}
	return Service{Name: name}
}

// Authenticate returns the workspace of an API key. allowed is false if the
// route needs a key and this one is unknown.
func (t *Table) Authenticate(r *Route, key string) (w Workspace, allowed bool) {
	if t.workspaces == nil {
		return Workspace{}, true
	}
	w, known := t.workspaces[key]
	return w, known || r.Public
}

// IsOnlyEngineService reports whether a service is the only one that has engines.
func (t *Table) IsOnlyEngineService(name string) bool {
	if t.Service(name).Engine == nil {
		return false
	}
	for _, s := range t.services {
		if s.Engine != nil && s.Name != name {
			return false
		}
	}
	return true
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
