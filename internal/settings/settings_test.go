package settings

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
)

var update = flag.Bool("update", false, "write docs/settings.md")

const docPath = "../../docs/settings.md"

const minimal = `{"instance":"i","region":"r","failure_domain":"d","api_address":"127.0.0.1:1","link_address":"127.0.0.1:2",
 "tls":{"certificate_file":"c","key_file":"k","authority_file":"/a"},
 "platform":{"table_address":"http://127.0.0.1:3","list_address":"http://127.0.0.1:3"}}`

// Guards against an invalid value that is accepted, or refused without its path.
func TestInvalidSettings(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ change, want string }{
		{`"extra":1`, "extra: is not a known field"},
		{`"drain_linger_ms":-1`, "drain_linger_ms: must be at least 0"},
		{`"drain_linger_ms":"5s"`, "drain_linger_ms: must be of type integer, not string"},
		{`"log_level":"loud"`, `log_level: must be one of "debug", "info", "warn", "error"`},
		{`"api_address":"localhost:1"`, "api_address: must be an IP address and a port, such as 127.0.0.1:7400"},
		{`"link_address":"0.0.0.0:1"`, "advertise_link_address: must name a specific IP address and a port from 1 to 65535"},
		{`"region":null`, "region: must be of type string, not null"},
		{`"seeds":[{"id":"a"}]`, "seeds[0].link_address: is required"},
		{`"seeds":[{"id":"a","link_address":"127.0.0.1:0","failure_domain":"d"}]`, "seeds[0].link_address: must name a specific IP address and a port from 1 to 65535"},
		{`"platform":{"table_address":"x","list_address":"x"}`, "platform.table_address: must be a URL such as http://127.0.0.1:7300"},
	} {
		members := map[string]json.RawMessage{}
		g.Expect(json.Unmarshal([]byte(minimal), &members)).To(Succeed())
		g.Expect(json.Unmarshal([]byte("{"+c.change+"}"), &members)).To(Succeed())
		data, err := json.Marshal(members)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = Parse(data)
		g.Expect(err).To(MatchError(c.want))
	}
	_, err := Parse([]byte(`{"region":"a","region":"b"}`))
	g.Expect(err).To(MatchError("region: is given twice"))
	_, err = Parse([]byte(minimal + "{}"))
	g.Expect(err).To(MatchError("has data after the end of the JSON value"))
}

// Guards against TLS file names that are not resolved against the directory of the
// settings file, and against an error that does not name the settings file.
func TestLoad(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(path, []byte(minimal), 0o600)).To(Succeed())
	s, err := Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.TLS).To(Equal(TLS{CertificateFile: filepath.Join(filepath.Dir(path), "c"),
		KeyFile: filepath.Join(filepath.Dir(path), "k"), AuthorityFile: "/a"}))
	g.Expect(s.AdvertiseLinkAddress).To(Equal("127.0.0.1:2"))
	g.Expect(s.DrainLingerMS).To(Equal(int64(5000)))
	g.Expect(os.WriteFile(path, []byte("{"), 0o600)).To(Succeed())
	_, err = Load(path)
	g.Expect(err).To(MatchError(HavePrefix("settings " + path + ": is not valid JSON")))
	g.Expect(err.Error()).NotTo(ContainSubstring("\n"))
}

// schemaNode is the part of the schema that goes into the documentation.
type schemaNode struct {
	Ref         string                `json:"$ref"`
	Type        string                `json:"type"`
	Description string                `json:"description"`
	Default     any                   `json:"default"`
	Properties  map[string]schemaNode `json:"properties"`
	Items       *schemaNode           `json:"items"`
	Required    []string              `json:"required"`
}

// visitSettings calls visit for each setting, in the order of the struct.
func visitSettings(t reflect.Type, node schemaNode, prefix string, visit func(path string, n schemaNode, required bool)) {
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		n := node.Properties[name]
		if len(n.Properties) == 0 {
			visit(prefix+name, n, slices.Contains(node.Required, name))
		}
		switch field.Type.Kind() {
		case reflect.Struct:
			visitSettings(field.Type, n, prefix+name+".", visit)
		case reflect.Slice:
			if field.Type.Elem().Kind() == reflect.Struct {
				visitSettings(field.Type.Elem(), *n.Items, prefix+name+"[].", visit)
			}
		}
	}
}

func renderDoc(root schemaNode) string {
	var b strings.Builder
	b.WriteString("# Settings\n\nThe settings of foxtailhubd are one JSON file. This page is generated from\n" +
		"`internal/settings/schema.json` by `go test ./internal/settings -update`.\n\n" +
		"| setting | default | description |\n|---|---|---|\n")
	visitSettings(reflect.TypeFor[Settings](), root, "", func(path string, n schemaNode, required bool) {
		value := ""
		switch {
		case required:
			value = "required"
		case n.Default != nil:
			value = fmt.Sprintf("`%v`", n.Default)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", path, value, n.Description)
	})
	return b.String()
}

// Guards against a setting without documentation, a setting that is only in the
// schema or only in the struct, and a documented default that is not the one
// applied.
func TestDocumentation(t *testing.T) {
	g := NewWithT(t)
	var root schemaNode
	decoder := json.NewDecoder(strings.NewReader(string(schemaText)))
	decoder.UseNumber()
	g.Expect(decoder.Decode(&root)).To(Succeed())
	g.Expect(root.Properties).To(HaveLen(reflect.TypeFor[Settings]().NumField()))

	defaults := map[string]json.RawMessage{}
	data, err := json.Marshal(Defaults())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Unmarshal(data, &defaults)).To(Succeed())
	visitSettings(reflect.TypeFor[Settings](), root, "", func(path string, n schemaNode, required bool) {
		g.Expect(n.Description).NotTo(BeEmpty(), path)
		if n.Default != nil && !strings.Contains(path, ".") {
			g.Expect(strings.Trim(string(defaults[path]), `"`)).To(Equal(fmt.Sprint(n.Default)), path)
		}
		stated := strings.Contains(n.Description, "Default:")
		g.Expect(required || n.Default != nil || stated).To(BeTrue(), "%s has no default", path)
	})
	text := renderDoc(root)
	if *update {
		g.Expect(os.WriteFile(docPath, []byte(text), 0o644)).To(Succeed())
	}
	written, err := os.ReadFile(docPath)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(written)).To(Equal(text), "run go test ./internal/settings -update")
}

// Guards against example files that the daemon would refuse.
func TestExamples(t *testing.T) {
	g := NewWithT(t)
	for name, policy := range map[string]configuration.ResumePolicy{
		"peruukkipankki": configuration.ResumeSparing, "kitami": configuration.ResumeFast,
	} {
		directory := filepath.Join("../../examples", name)
		s, err := Load(filepath.Join(directory, "settings.json"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(s.Seeds)).To(BeNumerically(">=", 5))
		data, err := os.ReadFile(filepath.Join(directory, "configuration.json"))
		g.Expect(err).NotTo(HaveOccurred())
		document, err := configuration.ParseDocument(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(document.Workspaces).To(HaveLen(10))
		for id, service := range configuration.WithDefaults(document).Services {
			if service.Kind == configuration.KindEngine {
				g.Expect(service.ResumePolicy).To(Equal(policy), string(id))
			}
		}
	}
}

// Guards against a panic, an error of several lines and settings that change when
// they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(`{"seeds":[{"id":"a"}],"platform":{"timeout_ms":1.0}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		s, err := Parse(data)
		if err != nil {
			g.Expect(err.Error()).NotTo(ContainSubstring("\n"))
			return
		}
		written, err := json.Marshal(s)
		g.Expect(err).NotTo(HaveOccurred())
		reparsed, err := Parse(written)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reparsed.Instance).To(Equal(s.Instance))
	})
}
