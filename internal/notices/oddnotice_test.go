package notices

import (
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
)

// fuzzedNotices returns notices whose rows and messages a fuzz test sets, with one upstream.
func fuzzedNotices() (*Exchange, *pool.Member) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := pool.New()
	p.Replace([]pool.Upstream{{ID: "i-1", Service: "service", Address: "10.0.0.1:80", Slots: 8, StartedAt: 1}})
	return &Exchange{
		crashes: newCrashExchange(nil, poison.NewQuarantine(nil), log),
		rates:   newRateExchange(nil, func() bool { return false }, p, log),
	}, p.Members("service")[0]
}

// useUpstream uses an upstream after a notice about it.
func useUpstream(t *testing.T, m *pool.Member) {
	now := time.Now()
	for i := range 4 {
		at := now.Add(time.Duration(i) * time.Minute)
		if limit, limited := m.RateLimit(at); limited && !(limit.PerSecond >= 0) {
			t.Fatalf("rate %v", limit.PerSecond)
		}
		pool.Pick([]*pool.Member{m}, pool.Requirements{}, at)
		m.TakeRequest(at)
		m.ChargeRequest(at)
	}
}

// FuzzNotice guards against a notice of another writer that crashes the process.
func FuzzNotice(f *testing.F) {
	for _, value := range []string{
		"", "null", "[]", `{}`, `{"per_second":2,"started_at":1}`, `{"per_second":-1,"started_at":1}`, `{"per_second":1e308,"started_at":1}`,
		`{"per_second":5e-324,"started_at":1}`, `{"per_second":1e999,"started_at":1}`, `{"per_second":2,"started_at":9223372036854775807}`,
		`{"per_second":2,"started_at":-9223372036854775808}`, `{"per_second":"2"}`, strings.Repeat("[", 20_000),
	} {
		f.Add(rateKeyPrefix+"i-1", []byte(value))
	}
	f.Add("content/i-1", []byte{})
	f.Add("/", []byte{})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		n, m := fuzzedNotices()
		for _, deleted := range []bool{false, true, false} {
			n.apply(discovery.Batch{Rows: []discovery.Row{{Key: key, Value: value, Deleted: deleted}}}, 0, nil)
			useUpstream(t, m)
		}
	})
}

// FuzzRateMessage guards against a notice over a link that crashes the process.
func FuzzRateMessage(f *testing.F) {
	for _, message := range []rateMessage{
		{UpstreamID: "i-1", StartedAt: 1, PerSecond: 2}, {UpstreamID: "i-1", StartedAt: 1, Ended: true}, {UpstreamID: "i-1", StartedAt: math.MinInt64, PerSecond: math.MaxFloat64},
		{UpstreamID: "i-1", StartedAt: 1, PerSecond: math.SmallestNonzeroFloat64, Relay: true},
	} {
		data, err := link.Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decodeRateMessage(data)
		if err != nil {
			return
		}
		n, m := fuzzedNotices()
		n.rates.receive(message)
		useUpstream(t, m)
	})
}
