package generation_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/generation"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

func sampleLocator() generation.Locator {
	d := contract.NewDigester()
	d.Add("text")
	return generation.Locator{
		Version: 1, Tag: generation.RequestTag{1, 2}, Holder: "instance-12", Upstream: "engine-1800",
		Stream: "0190a5d0-0000-7000-8000-000000000000-2", Attempt: 2,
		Pin:      upstream.ModelPin{Model: "model", Version: "2026-12", Adapter: "adapter"},
		Sampling: upstream.Sampling{Seed: 1 << 63, Temperature: 0.7}, Base: 1, DigesterState: d.State(),
	}
}

// Guards against a locator that loses a field or exceeds the API's length limit.
func TestLocatorRoundTrip(t *testing.T) {
	g := NewWithT(t)
	encoded := sampleLocator().Encode()
	decoded, err := generation.DecodeLocator(encoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded).To(Equal(sampleLocator()))
	g.Expect(len(encoded)).To(BeNumerically("<", 512))
	t.Logf("%d characters", len(encoded))
}

// Guards against the acceptance of an invalid locator.
func TestLocatorInvalid(t *testing.T) {
	g := NewWithT(t)
	noState := sampleLocator()
	noState.DigesterState = nil
	noHolder := sampleLocator()
	noHolder.Holder = ""
	negative := sampleLocator()
	negative.Base = -1
	valid := sampleLocator().Encode()
	for _, s := range []string{
		"", "%", "AAAA", valid[:len(valid)-4], valid + "AAAA", strings.Repeat("A", 2000),
		noState.Encode(), noHolder.Encode(), negative.Encode(),
	} {
		_, err := generation.DecodeLocator(s)
		g.Expect(err).To(MatchError(generation.ErrLocatorInvalid), s)
	}
}

// Guards against a crash on a forged locator.
func FuzzDecodeLocator(f *testing.F) {
	f.Add(sampleLocator().Encode())
	f.Add("oQEB")
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		l, err := generation.DecodeLocator(s)
		if err != nil {
			return
		}
		decoded, err := generation.DecodeLocator(l.Encode())
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(l))
	})
}
