package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api"
	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// fakeInstance emulates an instance; the service of a request selects the response.
type fakeInstance struct {
	oas.UnimplementedHandler
	mutations int // number of operations that change state
	drained   bool
	exit      func()
}

func (i *fakeInstance) NewError(_ context.Context, err error) *oas.ErrorStatusCodeWithHeaders {
	if refused, ok := err.(*oas.ErrorStatusCodeWithHeaders); ok {
		return refused
	}
	return api.ErrorFromVerdict(contract.Verdict{Outcome: contract.Unknown, Reason: contract.ReasonInternal}, "internal error")
}

var refusals = map[oas.Name]contract.Verdict{
	"busy":    {Outcome: contract.NotRun, Reason: contract.ReasonOverloaded, RetryAfter: 1500 * time.Millisecond},
	"poison":  {Outcome: contract.Quarantined, Reason: contract.ReasonQuarantined},
	"strange": {Outcome: contract.NotRun, Reason: contract.ReasonBadRequest},
}

func (i *fakeInstance) StartGeneration(_ context.Context, body *oas.GenerationRequest, p oas.StartGenerationParams, w http.ResponseWriter) error {
	i.mutations++
	if verdict, refused := refusals[p.Service]; refused {
		return api.ErrorFromVerdict(verdict, "refusal message")
	}
	w.Header().Set("Content-Type", "text/event-stream")
	id := contract.RequestID{Workspace: contract.WorkspaceID(p.Workspace), Key: string(p.IdempotencyKey)}
	digester := contract.NewDigester()
	_ = api.WriteEvent(w, api.EventStart, contract.StartPosition(), api.StartEvent{Request: id, Locator: "l"})
	for _, text := range []string{body.Prompt, " text"} {
		digester.Add(text)
		_ = api.WriteEvent(w, api.EventToken, contract.Position{Offset: digester.Tokens(), Digest: digester.PrefixDigest()}, api.TokenEvent{Text: text})
	}
	count := digester.Tokens()
	if p.Service == "damaged" {
		count++
	}
	return api.WriteEvent(w, api.EventEnd, contract.Position{}, api.EndEvent{Outcome: contract.Completed, TokenCount: count, SHA256: digester.Checksum()})
}

func (i *fakeInstance) Call(_ context.Context, body *oas.CallRequest, p oas.CallParams) (*oas.CallResult, error) {
	i.mutations++
	if verdict, refused := refusals[p.Service]; refused {
		return nil, api.ErrorFromVerdict(verdict, "refusal message")
	}
	if p.Service == "lost" {
		return &oas.CallResult{Outcome: oas.OutcomeUnknown, Reason: oas.NewOptString("unknown_outcome")}, nil
	}
	return &oas.CallResult{Outcome: oas.OutcomeCompleted, Status: oas.NewOptInt(200), Body: body.Body}, nil
}

func (i *fakeInstance) GetConfiguration(context.Context) (*oas.Configuration, error) {
	return &oas.Configuration{Version: 7, PatchID: oas.NewOptString("p7"), Document: []byte(`{"workspaces":{"a":{},"b":{}}}`)}, nil
}

func (i *fakeInstance) GetConfigurationVersion(_ context.Context, p oas.GetConfigurationVersionParams) (*oas.Configuration, error) {
	if p.Version > 7 {
		return nil, &oas.ErrorStatusCodeWithHeaders{StatusCode: 404, Response: oas.Error{Outcome: oas.OutcomeNotRun, Reason: "not_found", Message: "version: was not accepted"}}
	}
	return &oas.Configuration{Version: p.Version, Document: []byte(`{}`)}, nil
}

func (i *fakeInstance) ListConfigurationVersions(context.Context, oas.ListConfigurationVersionsParams) ([]oas.VersionInfo, error) {
	return []oas.VersionInfo{{Version: 7, PatchID: "p7", Accepted: time.Unix(0, 0)}}, nil
}

// SubmitPatch responds with the status named by the patch ID.
func (i *fakeInstance) SubmitPatch(_ context.Context, body *oas.PatchRequest) (*oas.PatchResult, error) {
	i.mutations++
	switch id := string(body.PatchID); id {
	case "down":
		return nil, api.ErrorFromVerdict(contract.Verdict{Outcome: contract.NotRun, Reason: contract.ReasonStoreDown}, "store is down")
	case "lost":
		return nil, context.Canceled
	case "conflict", "invalid", "unavailable", "unknown", "valid":
		return &oas.PatchResult{Status: oas.PatchResultStatus(id), Version: 9, Message: oas.NewOptString("services.a: reason")}, nil
	}
	return &oas.PatchResult{Status: oas.PatchResultStatusAccepted, Version: body.BaseVersion + 1, Message: oas.NewOptString(string(body.Patch))}, nil
}

func (i *fakeInstance) GetStatus(context.Context) (*oas.Status, error) {
	return &oas.Status{Instance: "i1", State: "ready", Version: 7, Peers: []oas.PeerStatus{
		{Instance: "i2", State: "ready", Version: 7}, {Instance: "i3", State: "unready", Version: 6, SilentMs: 2500},
	}, Upstreams: []oas.UpstreamStatus{{Upstream: "e1", State: "live", Slots: 8}}, Quarantined: []oas.QuarantineStatus{}}, nil
}

func (i *fakeInstance) GetTimeline(context.Context, oas.GetTimelineParams) (*oas.Timeline, error) {
	event := oas.TimelineEvent{WallMs: 1000, Instance: "i1", Kind: "attempt_lost", Workspace: oas.NewOptString("w"), Key: oas.NewOptString("k"), Attempt: oas.NewOptInt(2)}
	return &oas.Timeline{Events: []oas.TimelineEvent{event}, Missing: []string{"i3"}}, nil
}

func (i *fakeInstance) Drain(context.Context) (*oas.DrainStatus, error) {
	i.mutations++
	i.drained = true
	go i.exit()
	return &oas.DrainStatus{Draining: true, Generations: 1}, nil
}

// runTool runs one command against a new fakeInstance.
func runTool(t *testing.T, stdin string, args ...string) (code ExitCode, stdout, stderr string, fake *fakeInstance) {
	t.Helper()
	fake = &fakeInstance{}
	server, err := oas.NewServer(fake, fake)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	testServer := httptest.NewServer(server)
	defer testServer.Close()
	fake.exit = func() { _ = testServer.Listener.Close() }
	t.Setenv(endpointsVariable, testServer.URL)
	var out, errs bytes.Buffer
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	code = Run(ctx, IOStreams{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs}, args)
	return code, out.String(), errs.String(), fake
}

// Guards against a wrong exit code, on which scripts depend, and against output
// that does not state what the operator must do next.
func TestCommands(t *testing.T) {
	file := filepath.Join(t.TempDir(), "document.json")
	NewWithT(t).Expect(os.WriteFile(file, []byte(`{"workspaces":{"a":{}}}`), 0o600)).To(Succeed())
	send := "-workspace w -key k -service "
	for line, want := range map[string]struct {
		code ExitCode
		out  string // part of standard output
		err  string // part of standard error
	}{
		"generate " + send + "guides prompt":                      {ExitOK, "prompt text\n", "request=w/k outcome=completed tokens=2"},
		"generate " + send + "guides -":                           {ExitOK, "input text\n", "outcome=completed"},
		"generate " + send + "damaged p":                          {ExitFailed, "p text\n", "foxtailhub generate: received 2 tokens, the end event reports 3"},
		"generate " + send + "busy p":                             {ExitNotRun, "", `reason=overloaded retry_after_ms=1500 message="refusal message"`},
		"generate " + send + "poison p":                           {ExitFailed, "", "outcome=quarantined"},
		"generate " + send + "strange p":                          {ExitUsage, "", `message="refusal message"`},
		"call " + send + "stock {}":                               {ExitOK, "{}\n", "outcome=completed status=200"},
		"call " + send + "busy {}":                                {ExitNotRun, "", "retry_after_ms=1500"},
		"call " + send + "lost {}":                                {ExitUnknown, "", "reason=unknown_outcome"},
		"call -endpoints http://127.0.0.1:1 " + send + "stock {}": {ExitUnknown, "", "retry with -key k"},
		"config get":                                               {ExitOK, `"a": {}`, "version=7 patch_id=p7"},
		"config get -version 8":                                    {ExitFailed, "", "foxtailhub config get: version: was not accepted\n"},
		"config history":                                           {ExitOK, "7        1970-01-01T00:00:00Z  p7", ""},
		"config diff " + file:                                      {ExitOK, `"b": null`, "base=7"},
		"config patch -base 7 " + file:                             {ExitOK, "status=accepted version=8", ""},
		"config patch -whole " + file:                              {ExitOK, "status=accepted version=8", `{"workspaces":{"b":null}}`},
		"config patch -base 7 -id conflict " + file:                {ExitConflict, "status=conflict version=9", ""},
		"config patch -base 7 -id invalid " + file:                 {ExitUsage, "status=invalid", "services.a: reason"},
		"config patch -base 7 -id unavailable " + file:             {ExitNotRun, "status=unavailable", ""},
		"config patch -base 7 -id unknown " + file:                 {ExitUnknown, "status=unknown", ""},
		"config patch -base 7 -id valid -dry-run " + file:          {ExitOK, "status=valid", ""},
		"config patch -base 7 -id down " + file:                    {ExitNotRun, "", "store is down"},
		"config patch -base 7 -id lost " + file:                    {ExitUnknown, "", "submit it again with -id lost: last error"},
		"config wait 6":                                            {ExitOK, "version=6 in_force=3", ""},
		"config wait -timeout 500ms 7":                             {ExitFailed, "", "lagging instance=i3 version=6 state=unready silent_ms=2500\n"},
		"config wait -timeout 1ms -endpoints http://127.0.0.1:1 7": {ExitFailed, "", "status cannot be read"},
		"status":       {ExitOK, "i3                    unready  6        2.5s", ""},
		"status -json": {ExitOK, `"instance": "i1"`, ""},
		"timeline":     {ExitOK, "00:00:01.000.0000 instance=i1 event=attempt_lost request=w/k attempt=2\n", "no response from instance=i3"},
		"drain":        {ExitOK, "draining=true generations=1 calls=0\n", ""},
		"drain -wait":  {ExitOK, "exited\n", ""},
	} {
		t.Run(strings.ReplaceAll(line, file, "FILE"), func(t *testing.T) {
			g := NewWithT(t)
			code, stdout, stderr, _ := runTool(t, "input", strings.Fields(line)...)
			g.Expect(code).To(Equal(want.code), stderr)
			g.Expect(stdout).To(ContainSubstring(want.out))
			g.Expect(stderr).To(ContainSubstring(want.err))
		})
	}
}

// Guards against an invalid argument that changes state, or whose error message is
// longer than one line or does not name the command.
func TestInvalidUsageChangesNothing(t *testing.T) {
	for _, line := range []string{
		"generate p", "generate -workspace w -service s", "generate -workspace w -service s a b",
		"generate -workspace w -service s -key ü p", "generate -workspace w -service s -deadline -1s p", "generate -unknown",
		"call -workspace w -service s -method PATCH {}", "call -workspace w -service s -path x {}", "call -workspace w {}",
		"config", "config get x", "config patch", "config patch -base 7 /does/not/exist", "config patch -base 7 -", "config diff -",
		"config wait", "config wait x", "config wait -- -1", "config history -limit x", "status x", "timeline x", "timeline -since x",
		"drain http://10.0.0.1", "drain -endpoints http://10.0.0.1,http://10.0.0.2", "drain -endpoints 10.0.0.1:80", "drain -endpoints ,",
		"keys", "keys -region r", "keys -region r -ip x i1", "nothing",
	} {
		t.Run(line, func(t *testing.T) {
			g := NewWithT(t)
			t.Chdir(t.TempDir())
			code, stdout, stderr, fake := runTool(t, "not json", strings.Fields(line)...)
			g.Expect(code).To(Equal(ExitUsage))
			g.Expect(stdout).To(BeEmpty())
			g.Expect(fake.mutations).To(BeZero())
			g.Expect(filepath.Glob("*")).To(BeEmpty())
			if first := strings.Fields(line)[0]; first != "nothing" && line != "config" {
				g.Expect(strings.Count(stderr, "\n")).To(Equal(1), stderr)
				g.Expect(stderr).To(HavePrefix("foxtailhub " + first))
			}
		})
	}
}

// Guards against a command that is missing from the help or has no help text.
func TestHelp(t *testing.T) {
	for _, c := range commands() {
		g := NewWithT(t)
		code, stdout, stderr, fake := runTool(t, "", append(strings.Fields(c.name), "-h")...)
		g.Expect(code).To(Equal(ExitOK))
		g.Expect(stderr).To(BeEmpty())
		g.Expect(stdout).To(HavePrefix("usage: foxtailhub " + c.name + " [flags]"))
		g.Expect(stdout).To(And(ContainSubstring(c.summary), ContainSubstring("-endpoints")))
		g.Expect(fake.mutations).To(BeZero())
		_, all, _, _ := runTool(t, "")
		g.Expect(all).To(ContainSubstring(c.summary))
	}
}

// Guards against a second run that overwrites existing keys.
func TestKeysAreNotOverwritten(t *testing.T) {
	g := NewWithT(t)
	t.Chdir(t.TempDir())
	code, stdout, stderr, _ := runTool(t, "", "keys", "-region", "r", "i1")
	g.Expect(code).To(Equal(ExitOK), stderr)
	g.Expect(stdout).To(ContainSubstring("instance=i1 region=r in keys"))
	code, _, stderr, _ = runTool(t, "", "keys", "-region", "r", "i1")
	g.Expect(code).To(Equal(ExitFailed))
	g.Expect(strings.Count(stderr, "\n")).To(Equal(1), stderr)
}
