package failuredomain

import "testing"

// BenchmarkPeers measures the cost of one peer selection, which counts against
// the control-plane budget.
func BenchmarkPeers(b *testing.B) {
	members := newDeployment(480, 12, 6)
	b.ReportAllocs()
	for b.Loop() {
		Peers(members[0], members, MaxPeers)
	}
}
