package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	instanceOneLog = `time="2026-12-04T10:00:00.000Z" level=info msg="upstream listed" instance=one upstream=s-1
time="2026-12-04T10:00:05.000Z" level=info msg="stream sent" instance=one request=r-1 result=failed upstream=s-1 copy_at=s-2
time="2026-12-04T10:00:05.100Z" level=info msg="stream sent" instance=one request=r-2 upstream=s-1
time="2026-12-04T10:00:05.200Z" level=info msg="upstream gone" instance=one upstream=s-9
time="2026-12-04T10:00:06.000Z" level=info msg="stream ended" instance=one request=r-1 upstreams="[s-1 s-3]"
time="2026-12-04T10:00:07.000Z" level=info msg="upstream gone" instance=one upstream=s-1
not a line of an instance
`
	instanceTwoLog = `time="2026-12-04T10:00:05.500Z" level=warning msg="the store is lost" instance=two
time="2026-12-04T10:00:04.000Z" level=warning msg="the store is lost" instance=one
`
)

// Guards against an explanation that misses related lines about upstreams or of
// other log files, and against one that includes unrelated lines.
func TestExplain(t *testing.T) {
	g := NewWithT(t)
	directory := t.TempDir()
	one, two := filepath.Join(directory, "one.log"), filepath.Join(directory, "two.log")
	g.Expect(os.WriteFile(one, []byte(instanceOneLog), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(two, []byte(instanceTwoLog), 0o600)).To(Succeed())
	var out, errors bytes.Buffer
	env := IOStreams{Stdin: strings.NewReader(instanceOneLog), Stdout: &out, Stderr: &errors}
	g.Expect(Run(t.Context(), env, []string{"explain", "-request", "r-1", one, two})).To(Equal(ExitOK))
	var messages []string
	for _, line := range strings.Split(strings.TrimRight(out.String(), "\n"), "\n") {
		messages = append(messages, line[:9]+" "+strings.Split(line, `"`)[3])
	}
	g.Expect(messages).To(Equal([]string{
		"   -5.000 upstream listed", "   -1.000 the store is lost", "   +0.000 stream sent", "   +1.000 stream ended",
	}))

	out.Reset()
	g.Expect(Run(t.Context(), env, []string{"explain", "-request", "r-2"})).To(Equal(ExitOK))
	g.Expect(out.String()).To(ContainSubstring("request=r-2"))
	g.Expect(Run(t.Context(), env, []string{"explain", "-request", "r-7", one})).To(Equal(ExitFailed))
	g.Expect(errors.String()).To(ContainSubstring("no log line contains request r-7"))
	g.Expect(Run(t.Context(), env, []string{"explain"})).To(Equal(ExitUsage))
}

// Guards against a timeline over all instances in which other events are hidden by
// repetitions of the same event at many instances, or by lines of requests.
func TestTimelineOfLogs(t *testing.T) {
	g := NewWithT(t)
	logs := `time="2026-12-04T10:00:01.000Z" level=info msg="configuration in force" before=3 instance=one version=6
time="2026-12-04T10:00:01.500Z" level=info msg="request sent" instance=one request=r-1 upstream=s-1
time="2026-12-04T10:00:02.000Z" level=warning msg="the store is lost" error="dial \"x\": refused" instance=one silent_ms=2600
collector-7 time="2026-12-04T10:00:01.040Z" level=info msg="configuration in force" before=3 instance=two version=6
time="2026-12-04T10:00:02.100Z" level=warning msg="the store is lost" error=timeout instance=two silent_ms=2700
time="2026-12-04T10:00:09.000Z" level=info msg="configuration in force" before=3 instance=three version=6
time="2026-12-04T10:00:08.000Z" level=info msg="upstream gone" instance=two upstream=s-1
time="2026-12-04T10:00:08.100Z" level=info msg="upstream gone" instance=two upstream=s-1
`
	var out, errors bytes.Buffer
	env := IOStreams{Stdin: strings.NewReader(logs), Stdout: &out, Stderr: &errors}
	g.Expect(Run(t.Context(), env, []string{"timeline", "-logs"})).To(Equal(ExitOK))
	g.Expect(strings.Split(strings.TrimRight(out.String(), "\n"), "\n")).To(Equal([]string{
		`   +0.000 s  2 instances within 40 ms: level=info msg="configuration in force" before=3 version=6`,
		`   +1.000 s  2 instances within 100 ms: level=warning msg="the store is lost"`,
		`   +7.000 s  time="2026-12-04T10:00:08.000Z" level=info msg="upstream gone" instance=two upstream=s-1`,
		`   +7.100 s  time="2026-12-04T10:00:08.100Z" level=info msg="upstream gone" instance=two upstream=s-1`,
		`   +8.000 s  time="2026-12-04T10:00:09.000Z" level=info msg="configuration in force" before=3 instance=three version=6`,
	}))
	env.Stdin = strings.NewReader("")
	g.Expect(Run(t.Context(), env, []string{"timeline", "-logs"})).To(Equal(ExitFailed))
	g.Expect(Run(t.Context(), env, []string{"timeline", "-logs", "-json"})).To(Equal(ExitUsage))
	g.Expect(Run(t.Context(), env, []string{"timeline", "one.log"})).To(Equal(ExitUsage))
}
