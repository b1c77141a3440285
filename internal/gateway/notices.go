package gateway

import (
	"strings"
	"time"

	"foxtailhub.example/foxtailhub/internal/discovery"
)

// notices are what the instances tell each other about upstreams, in rows of the topic
// Notices.
type notices struct {
	crashes *crashExchange
	rates   *rateExchange
	parts   *partExchange
}

// apply passes each changed row to the exchange that it belongs to.
func (n notices) apply(batch discovery.Batch, _ time.Duration) {
	var partRows []discovery.Row
	for _, row := range batch.Rows {
		switch {
		case strings.HasPrefix(row.Key, rateKeyPrefix):
			n.rates.apply(row)
		case isPartRow(row.Key):
			partRows = append(partRows, row)
		default:
			n.crashes.apply(row)
		}
	}
	if len(partRows) > 0 {
		n.parts.apply(partRows)
	}
}
