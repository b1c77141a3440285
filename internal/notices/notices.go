// Package notices exchanges what the instances learn about upstreams: crashes of requests,
// crashes and successes of parts of prompts with the verdicts on them, and request rates. They
// go through rows of the topic Notices, and over links while the store fails.
//
// The package must never decide whether a request is refused: it adds evidence to the quarantine
// and the ledger of package poison, which decide.
package notices

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/forward"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/poison"
	"foxtailhub.example/foxtailhub/internal/pool"
	"foxtailhub.example/foxtailhub/internal/storesync"
)

// Config holds the dependencies of an Exchange.
type Config struct {
	Instance     string
	Store        discovery.Store
	StoreFailing func() bool // whether the last call to the store failed
	Pool         *pool.Pool
	Quarantine   *poison.Quarantine
	Ledger       *poison.Ledger
	Log          logrus.FieldLogger
}

// Exchange exchanges notices with the other instances.
type Exchange struct {
	instance contract.InstanceID
	log      logrus.FieldLogger
	crashes  *crashExchange
	rates    *rateExchange
	parts    *partExchange
}

// New returns an exchange that is not running yet.
func New(c Config) *Exchange {
	return &Exchange{
		instance: contract.InstanceID(c.Instance), log: c.Log,
		crashes: newCrashExchange(c.Store, c.Quarantine, c.Log),
		rates:   newRateExchange(c.Store, c.StoreFailing, c.Pool, c.Log),
		parts:   newPartExchange(c.Store, c.StoreFailing, c.Ledger, c.Instance, c.Log),
	}
}

// Crashes returns the exchange of requests that crash upstreams.
func (e *Exchange) Crashes() forward.CrashExchange { return e.crashes }

// Parts returns the exchange of parts of prompts that crash upstreams.
func (e *Exchange) Parts() forward.PartExchange { return e.parts }

// ShareRate informs the other instances of the request rate of an upstream if it is new to them.
func (e *Exchange) ShareRate(m *pool.Member) { e.rates.share(m) }

// Tasks returns the background tasks, each of which runs until its context ends.
func (e *Exchange) Tasks() []func(context.Context) {
	return []func(context.Context){e.rates.run, e.parts.run}
}

// Connect sends and receives notices over links until disconnect is called.
func (e *Exchange) Connect(transport link.Transport, members *storesync.Members) (disconnect func()) {
	links := &noticeLinks{self: e.instance, members: members, transport: transport, log: e.log}
	rates, parts := &rateLinks{links, e.rates}, &partLinks{links, e.parts}
	transport.Handle(messageRate, rates.serve)
	transport.Handle(messagePart, parts.serve)
	e.rates.setLinks(rates)
	e.parts.setLinks(parts)
	return func() {
		e.rates.setLinks(nil)
		e.parts.setLinks(nil)
	}
}

// settleTime is the time in which the instances write the notices again that the store lacks
// after it has come back from a copy.
const settleTime = 15 * time.Second

// Keeper returns a keeper that passes changed rows to the exchange.
func (e *Exchange) Keeper() *discovery.RowKeeper {
	return discovery.NewRowKeeper(settleTime, e.apply)
}

// apply passes each changed row to the part of the exchange that it belongs to.
func (e *Exchange) apply(batch discovery.Batch, _ time.Duration, stored func(key string) bool) {
	var partRows []discovery.Row
	for _, row := range batch.Rows {
		switch {
		case strings.HasPrefix(row.Key, rateKeyPrefix):
			e.rates.apply(row, batch.Returned)
		case isPartRow(row.Key):
			partRows = append(partRows, row)
		default:
			e.crashes.apply(row, batch.Returned)
		}
	}
	if len(partRows) > 0 {
		e.parts.apply(partRows, batch.Returned)
	}
	if batch.Returned || batch.Resumed {
		e.crashes.writeAgain(stored)
		e.rates.writeAgain(stored)
	}
	if batch.Returned {
		e.parts.writeAgain(stored)
	}
}
