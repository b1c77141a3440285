package storesync

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

// oddRows are rows of other writers that name no instance.
func oddRows() (rows []string) {
	rows = []string{
		strings.Repeat("[", 60_000), `{"other":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `,"address":"10.0.0.2:1","failure_domain":"d0","weight":1}`,
		"\xff", "null", "[]", `{"address":"10.0.0.2:1","failure_domain":"d0","weight":1`,
	}
	for _, address := range []string{`"10.0.0.2:0"`, `"0.0.0.0:80"`, `"[::]:80"`, `"[fe80::1%eth0]:80"`, `"224.0.0.1:80"`, `"10.0.0.2:70000"`, "7", "null"} {
		rows = append(rows, `{"address":`+address+`,"failure_domain":"d0","weight":1}`)
	}
	for _, weight := range []string{"-1", "1e999", "1e7", fmt.Sprint(math.MaxInt64), `"1"`, strings.Repeat("9", 60_000)} {
		rows = append(rows, `{"address":"10.0.0.2:1","failure_domain":"d0","weight":`+weight+`}`)
	}
	for _, domain := range []string{"", "\xff", strings.Repeat("d", 60_000)} {
		rows = append(rows, `{"address":"10.0.0.2:1","failure_domain":"`+domain+`","weight":1}`)
	}
	return rows
}

// Guards against a row of another writer that counts as an instance, which takes a part of the
// request rates and may be followed.
func TestOddRowIsNoInstance(t *testing.T) {
	g := NewWithT(t)
	for _, value := range oddRows() {
		_, _, err := decodeMember("instance/odd", []byte(value))
		g.Expect(err).To(HaveOccurred(), "%.80q", value)
	}
}

// Guards against odd rows that keep sound instances from following the configuration or the list.
func TestOddRowsCostOnlyThemselves(t *testing.T) {
	withHarness(t, 1, 8, func(h *harness) {
		for i, value := range oddRows() {
			h.store.write(discovery.Instances, fmt.Sprint(memberPrefix, "odd-", i), value, false)
			h.store.write(discovery.Upstreams, fmt.Sprint("odd-", i), value, false)
			h.store.write(discovery.Notices, fmt.Sprint("odd-", i), value, false)
		}
		h.store.write(discovery.Instances, memberPrefix+"absent", `{"address":"10.0.0.2:1","failure_domain":"d0","weight":1e6}`, false)
		time.Sleep(30 * time.Second)
		for _, p := range h.processes {
			h.g.Expect(p.members.Count()).To(Equal(9))
		}
		h.store.takeCounts()
		h.checkFreshness(20 * time.Second)
		calls, _ := h.store.takeCounts()
		// The reader makes a call each 0.84 s.
		h.g.Expect(calls[discovery.Upstreams]).To(BeNumerically("<=", 60))
	})
}

// FuzzInstanceRow guards against a row of another writer that crashes the process.
func FuzzInstanceRow(f *testing.F) {
	for _, value := range oddRows() {
		if len(value) < 1000 {
			f.Add("instance/odd", []byte(value))
		}
	}
	f.Add("instance/odd", []byte(`{"address":"10.0.0.2:1","failure_domain":"d1","weight":0}`))
	f.Add(secretKey, make([]byte, secretBytes))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m := NewMembers(Member{ID: "self", Address: "10.0.0.1:1", Domain: "d0"}, discardLogger())
		m.Apply(discovery.Batch{Rows: []discovery.Row{{Key: key, Value: value}, {Key: "instance/other", Value: value}}}, 0)
		m.Relays(2)
		m.DomainMembers()
		if fleet := m.Fleet(func(time.Time) time.Duration { return 0 }); len(fleet.Instances) != m.Count() || m.Count() > 3 {
			t.Fatalf("%d instances", m.Count())
		}
	})
}

// Guards against writes without end while the row with the secret of the fleet is invalid.
func TestInvalidSecretCostsLinksOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		defer h.close()
		h.store.write(discovery.Instances, secretKey, "too short", false)
		h.startFleet(2*time.Second, 1, 8)
		time.Sleep(12 * time.Second)
		for _, p := range h.processes {
			h.g.Expect(p.members.Registered()).To(BeTrue())
			h.g.Expect(p.members.Count()).To(Equal(8))
		}
		h.store.takeCounts()
		h.checkFreshness(20 * time.Second)
		calls, _ := h.store.takeCounts()
		t.Log("calls in 20 s: ", calls, h.store.version)
		// Each instance polls the topic every 5 s.
		h.g.Expect(calls[discovery.Instances]).To(BeNumerically("<=", 8*5))

		h.store.write(discovery.Instances, secretKey, strings.Repeat("s", secretBytes), false)
		time.Sleep(10 * time.Second)
		for _, p := range h.processes {
			h.g.Expect(p.members.LinksUsable()).To(BeTrue())
		}
	})
}
