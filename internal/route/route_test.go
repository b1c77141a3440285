package route

import (
	"testing"

	. "github.com/onsi/gomega"
)

func table() *Table {
	public := Route{Name: "public", Host: "host.example", Prefix: "/a/public/", Public: true, Targets: []Target{{Service: "s"}}}
	return NewTable(Document{
		Version: 7,
		Routes: []Route{
			{Name: "short", Host: "host.example", Prefix: "/a/", Targets: []Target{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "host.example", Prefix: "/a/b/", Targets: []Target{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}},
			public,
		},
		Services:   []Service{{Name: "s", Engine: &Engine{Slots: 8}}, {Name: "t"}},
		Workspaces: map[string]Workspace{"key": {Name: "w"}},
	})
}

// Guards against a request that matches the route of a shorter prefix, of another host,
// or of a prefix that ends within a path element.
func TestMatch(t *testing.T) {
	g := NewWithT(t)
	for path, want := range map[string]string{
		"/a/x": "short", "/a/b/x": "long", "/a/bc": "short", "/a/public/": "public", "/a": "", "/": "", "/b/a/": "",
	} {
		r, ok := table().Match("Host.Example:8080", path)
		g.Expect(ok).To(Equal(want != ""), path)
		if ok {
			g.Expect(r.Name).To(Equal(want), path)
		}
	}
	_, ok := table().Match("other.example", "/a/x")
	g.Expect(ok).To(BeFalse())
}

// Guards against a choice that ignores the weights or runs past the last target.
func TestPick(t *testing.T) {
	g := NewWithT(t)
	r, _ := table().Match("host.example", "/a/b/")
	for draw, want := range map[float64]string{0: "s", 0.74: "s", 0.76: "t", 0.999999: "t"} {
		g.Expect(r.PickService(draw)).To(Equal(want))
	}
}

// Guards against access without a known key, and public routes that require one.
func TestAuthenticate(t *testing.T) {
	g := NewWithT(t)
	closed, _ := table().Match("host.example", "/a/")
	public, _ := table().Match("host.example", "/a/public/")
	w, allowed := table().Authenticate(closed, "key")
	g.Expect(allowed).To(BeTrue())
	g.Expect(w.Name).To(Equal("w"))
	for _, key := range []string{"", "other"} {
		_, allowed = table().Authenticate(closed, key)
		g.Expect(allowed).To(BeFalse())
		w, allowed = table().Authenticate(public, key)
		g.Expect(allowed).To(BeTrue())
		g.Expect(w.Name).To(BeEmpty())
	}
	_, allowed = NewTable(Document{}).Authenticate(closed, "")
	g.Expect(allowed).To(BeTrue(), "a deployment without keys")
}

// Guards against an engine that is assigned to a service although another service has
// engines too.
func TestOnlyEngines(t *testing.T) {
	g := NewWithT(t)
	g.Expect(table().IsOnlyEngineService("s")).To(BeTrue())
	g.Expect(table().IsOnlyEngineService("t")).To(BeFalse())
	two := NewTable(Document{Services: []Service{{Name: "s", Engine: &Engine{}}, {Name: "t", Engine: &Engine{}}}})
	g.Expect(two.IsOnlyEngineService("s")).To(BeFalse())
}
