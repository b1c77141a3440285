package membership

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a draining state that instances renew for each other after the
// drained instance was restarted, which would keep it out of the roster.
func TestRestartEndsDrainingStateEverywhere(t *testing.T) {
	withCluster(t, 4, nil, func(g *WithT, c *cluster) {
		advance(5 * time.Second)
		drained := c.nodes[3]
		drained.SetState(Draining)
		advance(2 * time.Second)
		c.crash(drained)
		advance(time.Second)
		c.start(t, 3)
		advance(2 * time.Second)
		for _, n := range c.nodes[:3] {
			m, _ := n.View().Member(drained.id)
			g.Expect(m.State).To(Equal(Ready))
			g.Expect(n.knownCount()).To(Equal(4))
		}
	})
}
