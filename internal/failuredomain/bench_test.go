package failuredomain

import "testing"

// The cost of one selection counts against the control-plane budget.
func BenchmarkPeers(b *testing.B) {
	members := deployment(480, 12, 6)
	b.ReportAllocs()
	for b.Loop() {
		Peers(members[0], members, MaxPeers)
	}
}
