package link

import "sync/atomic"

type counters struct {
	messagesIn, messagesOut               atomic.Int64
	bytesIn, bytesOut                     atomic.Int64
	wireIn, wireOut                       atomic.Int64 // of closed connections
	packetsIn, packetsOut                 atomic.Int64 // of closed connections
	dials, dialFailures, accepted         atomic.Int64
	unresponsive                          atomic.Int64
	rejectedConnections, rejectedMessages atomic.Int64
}

func (c *counters) countIn(bytes int) {
	c.messagesIn.Add(1)
	c.bytesIn.Add(int64(bytes))
}

func (c *counters) countOut(bytes int) {
	c.messagesOut.Add(1)
	c.bytesOut.Add(int64(bytes))
}

// Stats has the counters of a QUIC transport since its start.
type Stats struct {
	MessagesIn, MessagesOut int64 // frames
	BytesIn, BytesOut       int64 // of frames
	WireIn, WireOut         int64 // bytes of QUIC packets, without UDP and IP headers
	PacketsIn, PacketsOut   int64 // QUIC packets
	Dials, DialFailures     int64 // attempts to connect, and failed attempts
	Accepted                int64 // connections that peers dialled
	UnresponsiveConnections int64 // connections replaced because the peer did not respond
	RejectedConnections     int64 // certificate, region or identity not valid
	RejectedMessages        int64 // malformed, of unknown type, or rejected by a handler
	Connections             int   // open now
}

// Stats returns the counters, including those of open connections.
func (q *QUICTransport) Stats() Stats {
	c := &q.counters
	s := Stats{
		MessagesIn: c.messagesIn.Load(), MessagesOut: c.messagesOut.Load(),
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		WireIn: c.wireIn.Load(), WireOut: c.wireOut.Load(),
		PacketsIn: c.packetsIn.Load(), PacketsOut: c.packetsOut.Load(),
		Dials: c.dials.Load(), DialFailures: c.dialFailures.Load(), Accepted: c.accepted.Load(),
		UnresponsiveConnections: c.unresponsive.Load(), RejectedConnections: c.rejectedConnections.Load(), RejectedMessages: c.rejectedMessages.Load(),
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range q.peers {
		for _, conn := range p.connections() {
			wire := conn.conn.ConnectionStats()
			s.WireIn += int64(wire.BytesReceived)
			s.WireOut += int64(wire.BytesSent)
			s.PacketsIn += int64(wire.PacketsReceived)
			s.PacketsOut += int64(wire.PacketsSent)
			s.Connections++
		}
	}
	return s
}
