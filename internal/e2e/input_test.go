//go:build e2e

package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/cli"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/testcluster"
)

// badInput is an invalid input and the error message expected for it.
type badInput struct {
	name string
	body string
	line string // part of the message: path and reason
}

// implementationTerms are terms of the implementation that must not appear in messages.
var implementationTerms = []string{"oas.", "jx.", "ogen", "decode ", "callback", "json: cannot", "int64", "float64", "struct", "invalid character", "unexpected byte"}

func (h *harness) expectReadableLine(text, part string) {
	h.t.Helper()
	line := strings.TrimSuffix(text, "\n")
	h.t.Logf("%s", line)
	h.Expect(line).NotTo(ContainSubstring("\n"))
	h.Expect(line).To(ContainSubstring(part))
	for _, term := range implementationTerms {
		h.Expect(line).NotTo(ContainSubstring(term))
	}
}

// Guards against an instance that starts with invalid settings, and against messages
// that do not contain the path of the setting.
func TestInvalidSettingsNameTheField(t *testing.T) {
	t.Parallel()
	h := &harness{GomegaWithT: NewWithT(t), t: t, ctx: t.Context()}
	good := map[string]any{
		"instance": "instance-0", "region": "hokkaido", "failure_domain": "sapporo",
		"api_address": "127.0.0.1:1", "link_address": "127.0.0.1:2",
		"tls":      map[string]any{"certificate_file": "a", "key_file": "b", "authority_file": "c"},
		"platform": map[string]any{"table_address": "http://127.0.0.1:3", "list_address": "http://127.0.0.1:3"},
	}
	check := func(change func(s, platform map[string]any)) (int, string) {
		data, err := json.Marshal(good)
		h.Expect(err).NotTo(HaveOccurred())
		var s map[string]any
		h.Expect(json.Unmarshal(data, &s)).To(Succeed())
		change(s, s["platform"].(map[string]any))
		data, err = json.Marshal(s)
		h.Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(t.TempDir(), "settings.json")
		h.Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
		command := exec.Command(filepath.Join(binaries, "foxtailhubd"), "-check", "-settings", file)
		output, _ := command.CombinedOutput()
		return command.ProcessState.ExitCode(), string(output)
	}
	code, output := check(func(map[string]any, map[string]any) {})
	h.Expect(code).To(BeZero(), output)
	for part, change := range map[string]func(s, platform map[string]any){
		"platform.tabel_address: is not a known field": func(_, p map[string]any) { p["tabel_address"] = "http://127.0.0.1:3" },
		"drain_linger_ms: must be of type integer":     func(s, _ map[string]any) { s["drain_linger_ms"] = "5s" },
		"drain_linger_ms: must be at least 0":          func(s, _ map[string]any) { s["drain_linger_ms"] = -1 },
		"platform.timeout_ms: must be":                 func(_, p map[string]any) { p["timeout_ms"] = 0.5 },
		"link_address: must be an IP address":          func(s, _ map[string]any) { s["link_address"] = "localhost" },
		"platform.list_address: must be a URL":         func(_, p map[string]any) { p["list_address"] = "127.0.0.1:3" },
		"region: is required":                          func(s, _ map[string]any) { delete(s, "region") },
	} {
		code, output := check(change)
		h.Expect(code).To(Equal(2), output)
		h.expectReadableLine(output, part)
	}
}

// Guards against an invalid patch that changes the configuration, and against
// messages that do not contain the path of the field.
func TestInvalidPatchesNameTheFieldAndChangeNothing(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{Engines: 1})
	before := h.runTool(0, "", "config get")
	for _, input := range []badInput{
		{"unknown field", `{"services":{"care-guides":{"modle":"x"}}}`, "services.care-guides.modle: is not a known field"},
		{"wrong type", `{"workspaces":{"shop-a":{"weight":"2"}}}`, "workspaces.shop-a.weight: must be of type number"},
		{"impossible value", `{"workspaces":{"shop-a":{"weight":-1}}}`, "workspaces.shop-a.weight: must be"},
		{"unknown upstream", `{"services":{"care-guides":{"upstreams":["nobody"]}}}`, "services.care-guides.upstreams[0]: "},
		{"unknown section", `{"service":{}}`, "service: is not a known field"},
		{"not an object", `[1]`, "must be"},
		{"removal of what a rule needs", `{"workspaces":{"shop-a":null}}`, "rules."},
	} {
		result := h.runTool(0, input.body, "config patch", "-base", "1", "-")
		h.Expect(result.code).To(Equal(cli.ExitUsage), "%s: %+v", input.name, result)
		h.expectReadableLine(result.stderr, input.line)
	}
	h.Expect(h.runTool(0, "{", "config patch", "-base", "1", "-").code).To(Equal(cli.ExitUsage))
	h.Expect(h.runTool(0, "{}", "config patch", "-").code).To(Equal(cli.ExitUsage))
	h.Expect(h.runTool(0, `{"workspaces":{"shop-b":{"weight":2}}}`, "config patch", "-base", "7", "-").code).To(Equal(cli.ExitConflict))
	h.Expect(h.runTool(0, "", "config get")).To(Equal(before))
	h.Expect(h.runTool(0, "", "config history").stdout).To(MatchRegexp(`(?s)^VERSION[^\n]*\n1 [^\n]*\n$`))
}

// post sends a request body and returns the status and body of the response.
func (h *harness) post(path, key, body string) (int, string) {
	h.t.Helper()
	request, err := http.NewRequestWithContext(h.ctx, http.MethodPost, h.urls[0]+path, bytes.NewBufferString(body))
	h.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	h.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close() //nolint:errcheck // it was read
	data, err := io.ReadAll(response.Body)
	h.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(data)
}

// Guards against an invalid request that runs, and against messages with terms of the
// implementation or without the path of the field.
func TestInvalidRequestsNameTheFieldAndDoNotRun(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{Engines: 1, Instances: 1})
	generations := "/v1/workspaces/shop-a/services/care-guides/generations"
	calls := "/v1/workspaces/shop-a/services/renewal-charges/calls"
	for _, input := range []struct {
		path, key, body, line string
	}{
		{generations, "k1", `{"prompt":"x","max_token":3}`, "max_token: is not a known field"},
		{generations, "k2", `{"prompt":7}`, "prompt: must be of type string"},
		{generations, "k3", `{"prompt":"x","max_tokens":-3}`, "max_tokens: must be at least 1"},
		{generations, "k4", `{"prompt":"x","temperature":9}`, "temperature: must be at most 2"},
		{generations, "k5", `{}`, "prompt: is required"},
		{generations, "k6", `{"prompt":"x"`, "is not valid JSON"},
		{generations, "", `{"prompt":"x"}`, "Idempotency-Key: is required"},
		{generations, "a b", `{"prompt":"x"}`, "Idempotency-Key: "},
		{generations, "k7", `{"prompt":"x","resume":{"position":"7"}}`, "resume.position: "},
		{calls, contract.NewKey(), `{"method":"FETCH"}`, "method: must be one of "},
		{calls, contract.NewKey(), `{"body":{"a":1}}`, "body: must be of type string"},
		{calls, contract.NewKey(), `{"deadline_ms":"1s"}`, "deadline_ms: must be of type integer"},
		{calls, "no-time", `{"path":"/charges"}`, "idempotency key"},
		{"/v1/configuration/patches", "", `{"patch_id":"p1","base_version":"1","patch":{}}`, "base_version: must be of type integer"},
		{"/v1/configuration/patches", "", `{"base_version":1,"patch":{}}`, "patch_id: is required"},
	} {
		status, body := h.post(input.path, input.key, input.body)
		h.Expect(status).To(BeElementOf(http.StatusBadRequest, http.StatusUnprocessableEntity), body)
		var response struct{ Outcome, Reason, Message string }
		h.Expect(json.Unmarshal([]byte(body), &response)).To(Succeed(), body)
		h.Expect(response.Outcome).To(Equal("not_run"))
		h.expectReadableLine(response.Message, input.line)
	}
	h.Expect(h.engineCounters(0).StreamsStarted).To(BeZero())
	var report standin.ExecutionReport
	h.Expect(testcluster.GetJSON(h.ctx, h.cluster.Services[0].URL()+"/executions", &report)).To(Succeed())
	h.Expect(report.Executions).To(BeEmpty())
}

// Guards against undocumented exit codes of the command-line tool.
func TestExitCodesOfTheTool(t *testing.T) {
	t.Parallel()
	h := startHarness(t, testcluster.Options{})
	h.Expect(h.runTool(0, "", "-h").code).To(Equal(cli.ExitOK))
	h.Expect(h.runTool(0, "", "nonsense").code).To(Equal(cli.ExitUsage))
	h.Expect(h.runTool(0, "", "status", "-unknown").code).To(Equal(cli.ExitUsage))
	h.Expect(h.runTool(0, "", "status").code).To(Equal(cli.ExitOK))
	charge := []string{"-workspace", "shop-a", "-service", "renewal-charges", "-key", contract.NewKey(), "{}"}
	h.Expect(h.runTool(0, "", "call", charge...).code).To(Equal(cli.ExitOK))
	h.Expect(h.runTool(0, "", "call", "-workspace", "nobody", "-service", "renewal-charges", "{}").code).To(Equal(cli.ExitNotRun))
	generate := []string{"-workspace", "shop-a", "-service", "care-guides"}
	h.Expect(h.runTool(0, "", "generate", append(generate, "len=5")...).code).To(Equal(cli.ExitOK))
	h.Expect(h.runTool(0, "", "generate", append(generate, "-temperature", "9", "len=5")...).code).To(Equal(cli.ExitUsage))
	h.Expect(h.runTool(0, "", "config wait", "-timeout", "1s", "99").code).To(Equal(cli.ExitFailed))
	h.setFault(h.cluster.Services[0], standin.Fault{DropResponse: true})
	charge[5] = contract.NewKey()
	h.Expect(h.runTool(0, "", "call", charge...).code).To(Equal(cli.ExitUnknown))
	h.setFault(h.cluster.Platform, standin.Fault{Refuse: true})
	charge[5] = contract.NewKey()
	h.Expect(h.runTool(0, "", "call", charge...).code).To(Equal(cli.ExitNotRun))
	patch := h.runTool(0, `{}`, "config patch", "-base", "1", "-")
	h.Expect(patch.code).To(Equal(cli.ExitNotRun), "%+v", patch)
}
