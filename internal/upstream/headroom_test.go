package upstream

import (
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/configuration"
)

// Guards against a headroom smaller than the largest loss, and against one that
// leaves no slot for new generations.
func TestSlotsForNew(t *testing.T) {
	uneven := []LiveSlots{{"a", 8}, {"a", 8}, {"b", 12}, {"c", 4}, {"c", 4}}
	for _, row := range []struct {
		live     []LiveSlots
		headroom configuration.LossHeadroom
		want     int
	}{
		{uneven, configuration.HeadroomNone, 36},
		{uneven, configuration.HeadroomUpstream, 24},
		{uneven, configuration.HeadroomFailureDomain, 20},
		{[]LiveSlots{{"a", 8}, {"a", 8}}, configuration.HeadroomFailureDomain, 8},
		{[]LiveSlots{{"a", 8}}, configuration.HeadroomFailureDomain, 8},
		{[]LiveSlots{{"a", 8}}, configuration.HeadroomUpstream, 8},
		{nil, configuration.HeadroomUpstream, 0},
	} {
		NewWithT(t).Expect(SlotsForNewGenerations(row.live, row.headroom)).To(Equal(row.want), "%v %s", row.live, row.headroom)
	}
}
