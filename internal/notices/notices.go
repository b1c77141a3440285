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

// noticeSettleTime is the time in which the instances write the notices again that the store
// lacks after it has come back from a copy.
const noticeSettleTime = 15 * time.Second

// keeper returns a keeper that passes changed rows to the exchanges.
func (n notices) keeper() *discovery.RowKeeper {
	return discovery.NewRowKeeper(noticeSettleTime, n.apply)
}

// apply passes each changed row to the exchange that it belongs to.
func (n notices) apply(batch discovery.Batch, _ time.Duration, stored func(key string) bool) {
	var partRows []discovery.Row
	for _, row := range batch.Rows {
		switch {
		case strings.HasPrefix(row.Key, rateKeyPrefix):
			n.rates.apply(row, batch.Returned)
		case isPartRow(row.Key):
			partRows = append(partRows, row)
		default:
			n.crashes.apply(row, batch.Returned)
		}
	}
	if len(partRows) > 0 {
		n.parts.apply(partRows, batch.Returned)
	}
	if batch.Returned || batch.Resumed {
		n.crashes.writeAgain(stored)
		n.rates.writeAgain(stored)
	}
	if batch.Returned {
		n.parts.writeAgain(stored)
	}
}
