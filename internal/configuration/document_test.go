package configuration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/roster"
)

const small = `{
 "services": {"notes": {"kind":"engine","model":"m","model_version":"1","upstreams":["e1"]},
              "stock": {"kind":"service","idempotent":true,"upstreams":["s1"]}},
 "upstreams": {"e1": {"kind":"engine","address":"127.0.0.1:1","failure_domain":"a"},
               "s1": {"kind":"service","address":"127.0.0.1:2","failure_domain":"b"}},
 "workspaces": {"w": {}},
 "rules": {"r": {"workspace":"w","service":"notes","upstreams":["e1"]}}}`

func smallDocument(t testing.TB) configuration.Document {
	document, err := configuration.ParseDocument([]byte(small))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return document
}

// Guards against a patch that puts an invalid configuration in force, and against
// an error without path and reason.
func TestInvalidPatches(t *testing.T) {
	g := NewWithT(t)
	for patch, want := range map[string]string{
		`{"services":{"notes":{"deadline_ms":0}}}`:                         "services.notes.deadline_ms: must be at least 1",
		`{"services":{"notes":{"deadline_ms":"1s"}}}`:                      "services.notes.deadline_ms: must be of type integer, not string",
		`{"services":{"notes":{"deadline":1}}}`:                            "services.notes.deadline: is not a known field",
		`{"services":{"notes":{"max_attempts":1.5}}}`:                      "services.notes.max_attempts: must be of type integer, not number",
		`{"services":{"notes":{"resume_policy":"slow"}}}`:                  `services.notes.resume_policy: must be one of "sparing", "fast"`,
		`{"services":{"notes":{"loss_headroom":"slot"}}}`:                  `services.notes.loss_headroom: must be one of "none", "upstream", "failure_domain"`,
		`{"services":{"stock":{"loss_headroom":"none"}}}`:                  "services.stock.loss_headroom: applies to kind engine only",
		`{"services":{"notes":{"model_version":null}}}`:                    "services.notes.model_version: is required for kind engine",
		`{"services":{"notes":{"upstreams":["e1","e1"]}}}`:                 "services.notes.upstreams: items 0 and 1 are equal",
		`{"services":{"notes":{"upstreams":["gone"]}}}`:                    "services.notes.upstreams[0]: upstream gone does not exist",
		`{"services":{"notes":{"upstreams":["s1"]}}}`:                      "services.notes.upstreams[0]: upstream s1 is of kind service, the service of kind engine",
		`{"services":{"notes":{"queue_ms":9,"deadline_ms":5}}}`:            "services.notes.queue_ms: must not exceed deadline_ms",
		`{"services":{"a b":{"kind":"service","upstreams":[]}}}`:           "services.a b: is not a valid name",
		`{"services":{"stock":{"model":"m"}}}`:                             "services.stock: model, model_version and adapter apply to kind engine only",
		`{"upstreams":{"e1":{"address":"engine-1:80"}}}`:                   "upstreams.e1.address: must be an IP address and a port, such as 127.0.0.1:8001",
		`{"upstreams":{"e1":{"address":"0.0.0.0:80"}}}`:                    "upstreams.e1.address: must name a specific IP address and a port from 1 to 65535",
		`{"upstreams":{"e1":{"address":"127.0.0.1:2"}}}`:                   "upstreams.s1.address: is also the address of upstream e1",
		`{"workspaces":{"w":null}}`:                                        "rules.r.workspace: workspace w does not exist",
		`{"workspaces":{"w":{"requests_per_second":0}}}`:                   "workspaces.w.requests_per_second: must be greater than 0",
		`{"rules":{"r":{"service":"none"}}}`:                               "rules.r.service: service none does not exist",
		`{"rules":{"r":{"upstreams":["s1"]}}}`:                             "rules.r.upstreams[0]: upstream s1 is not one of service notes",
		`{"rules":{"r":{"upstreams":[]}}}`:                                 "rules.r.upstreams: must have at least 1 items",
		`{"rules":{"q":{"workspace":"w","service":"notes"}}}`:              "rules.r: rule q already ties this workspace to this service",
		`{"rules":null,"services":null,"upstreams":null,"workspaces":[1]}`: "workspaces: must be of type object, not array",
	} {
		_, err := configuration.ApplyPatch(smallDocument(t), []byte(patch))
		g.Expect(err).To(MatchError(want), patch)
	}
	for body, want := range map[string]string{
		`[]`:                  "patch: must be a JSON object",
		`null`:                "patch: must be a JSON object",
		`{"rules":{}} {}`:     "has data after the end of the JSON value",
		`{"a":{"b":1,"b":2}}`: "a.b: is given twice",
	} {
		g.Expect(configuration.Patch{ID: "p", Body: []byte(body)}.Check()).To(MatchError(want), body)
	}
}

// Guards against defaults other than the documented ones, and against defaults
// that change the stored document.
func TestDefaults(t *testing.T) {
	g := NewWithT(t)
	document := smallDocument(t)
	d := configuration.WithDefaults(document)
	g.Expect(d.Services["notes"]).To(And(HaveField("DeadlineMS", int64(600000)), HaveField("QueueMS", int64(10000)),
		HaveField("ResumePolicy", configuration.ResumeSparing), HaveField("LossHeadroom", configuration.HeadroomUpstream), HaveField("MaxTokens", int64(32768)),
		HaveField("DetachGraceMS", int64(30000)), HaveField("MaxAttempts", 8)))
	g.Expect(d.Services["stock"]).To(And(HaveField("DeadlineMS", int64(10000)), HaveField("QueueMS", int64(1000))))
	g.Expect(d.Upstreams["e1"].Slots).To(Equal(8))
	g.Expect(d.Workspaces["w"]).To(Equal(configuration.Workspace{RequestsPerSecond: 100, ConcurrentGenerations: 100, Weight: 1}))
	g.Expect(d.Rules["r"].Priority).To(Equal("interactive"))
	g.Expect(document.Services["notes"].DeadlineMS).To(BeZero())
}

func documentGen() *rapid.Generator[configuration.Document] {
	return rapid.Custom(func(t *rapid.T) configuration.Document {
		d := configuration.Document{
			Services: map[contract.ServiceID]configuration.Service{}, Upstreams: map[contract.UpstreamID]configuration.Upstream{},
			Workspaces: map[contract.WorkspaceID]configuration.Workspace{}, Rules: map[string]configuration.Rule{},
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "services") {
			up := contract.UpstreamID(fmt.Sprintf("u%d", i))
			d.Upstreams[up] = configuration.Upstream{Kind: configuration.KindService, FailureDomain: "d",
				Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: rapid.IntRange(0, 3).Draw(t, "slots")}
			name := contract.ServiceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service"))
			d.Services[name] = configuration.Service{Kind: configuration.KindService, Upstreams: []contract.UpstreamID{up},
				DeadlineMS: rapid.Int64Range(0, 3).Draw(t, "deadline")}
			d.Workspaces["w"] = configuration.Workspace{Weight: float64(rapid.IntRange(0, 2).Draw(t, "weight"))}
			d.Rules[string(name)] = configuration.Rule{Workspace: "w", Service: name}
		}
		return d
	})
}

// Guards against a diff whose application does not produce the second document.
func TestDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		from, to := documentGen().Draw(t, "from"), documentGen().Draw(t, "to")
		patch, err := configuration.Diff(from, to)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := configuration.ApplyPatch(from, patch)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(to))
	})
}

// anyRoster lets an acceptor accept under a roster that never changes.
func anyRoster(context.Context) (platform.Condition, error) {
	return platform.Condition{Key: roster.Key}, nil
}

func noMajority(context.Context) (platform.Condition, error) {
	return platform.Condition{}, errors.New("no majority")
}

// Guards against versions in the wrong order, a limit that is ignored, and a row
// that contains another version than its key.
func TestHistory(t *testing.T) {
	g := NewWithT(t)
	table := newFakeTable()
	store := configuration.NewStore(table)
	holder := configuration.NewHolder()
	acceptor := configuration.NewAcceptor(configuration.AcceptorConfig{Store: store, Holder: holder, Log: quietLog(),
		CheckMajority: anyRoster,
		Publish:       func(context.Context, *configuration.Snapshot) error { return nil }})
	for i := range 40 {
		r := acceptor.Submit(t.Context(), workspacePatch(fmt.Sprintf("p%d", i), configuration.Version(i), "w"))
		g.Expect(r.Status).To(Equal(configuration.StatusAccepted))
	}
	history, err := store.History(t.Context(), 35)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(history).To(HaveLen(35))
	for i, s := range history {
		g.Expect(s.Version).To(Equal(configuration.Version(40 - i)))
	}
	const third, fourth = "configuration/version/00000000000000000003", "configuration/version/00000000000000000004"
	table.rows[third] = platform.Row{Key: third, Value: table.rows[fourth].Value, Revision: 1}
	_, err = store.Version(t.Context(), 3)
	g.Expect(err).To(MatchError("configuration version 3 was asked for, got version 4"))
}

// Guards against a retryable result for a patch that can never be accepted, and
// against acceptance without a majority.
func TestInvalidPatchIsReportedWithoutMajority(t *testing.T) {
	g := NewWithT(t)
	acceptor := configuration.NewAcceptor(configuration.AcceptorConfig{
		Store: configuration.NewStore(newFakeTable()), Holder: configuration.NewHolder(), Log: quietLog(),
		CheckMajority: noMajority,
	})
	bad := configuration.Patch{ID: "bad", Body: []byte(`{"service":{}}`)}
	result := acceptor.Submit(t.Context(), bad)
	g.Expect(result.Status).To(Equal(configuration.StatusInvalid))
	g.Expect(result.Message).To(ContainSubstring("service: is not a known field"))
	g.Expect(acceptor.Submit(t.Context(), workspacePatch("good", 0, "w")).Status).To(Equal(configuration.StatusUnavailable))
}

// Guards against a retryable result for a patch that lost a race: an instance
// that lacks the accepted version has no majority, but must return conflict.
func TestLostRaceIsAConflictWithoutMajority(t *testing.T) {
	g := NewWithT(t)
	store := configuration.NewStore(newFakeTable())
	newAcceptor := func(mayAccept func(context.Context) (platform.Condition, error)) *configuration.Acceptor {
		return configuration.NewAcceptor(configuration.AcceptorConfig{
			Store: store, Holder: configuration.NewHolder(), Log: quietLog(), CheckMajority: mayAccept,
			Publish: func(context.Context, *configuration.Snapshot) error { return nil },
		})
	}
	winner := newAcceptor(anyRoster)
	loser := newAcceptor(func(ctx context.Context) (platform.Condition, error) {
		winner.Submit(t.Context(), workspacePatch("winner", 0, "a"))
		return noMajority(ctx)
	})
	result := loser.Submit(t.Context(), workspacePatch("loser", 0, "b"))
	g.Expect(result.Status).To(Equal(configuration.StatusConflict), result.Message)
	g.Expect(result.Version).To(Equal(configuration.Version(1)))
}

// Guards against a panic, an error of several lines, a result that the schema
// rejects when it is parsed again, and a difference from the library's merge.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"services":{"notes":{"deadline_ms":5}}}`))
	f.Add([]byte(`{"rules":null,"workspaces":{"w":null}}`))
	if example, err := os.ReadFile("../../examples/kitami/configuration.json"); err == nil {
		f.Add(example)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		g := NewWithT(t)
		base := smallDocument(t)
		patch := configuration.Patch{ID: "p", Body: body}
		if err := patch.Check(); err != nil {
			g.Expect(err.Error()).NotTo(ContainSubstring("\n"))
			return
		}
		document, err := configuration.ApplyPatch(base, body)
		if err != nil {
			g.Expect(err.Error()).NotTo(ContainSubstring("\n"))
			return
		}
		text, err := configuration.EncodeDocument(document)
		g.Expect(err).NotTo(HaveOccurred())
		parsed, err := configuration.ParseDocument(text)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(parsed).To(Equal(document))
		merged, err := jsonpatch.MergePatch([]byte(small), body)
		g.Expect(err).NotTo(HaveOccurred())
		var want configuration.Document
		g.Expect(json.Unmarshal(merged, &want)).To(Succeed())
		for id := range want.Services {
			g.Expect(document.Services).To(HaveKey(id))
		}
	})
}
