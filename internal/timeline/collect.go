package timeline

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
)

// MessageTimeline is the type of a request for events of an instance's log.
const MessageTimeline link.MessageType = "timeline"

const (
	collectTimeout     = 2 * time.Second // per instance
	collectConcurrency = 32              // concurrent requests
)

// ErrInvalidResponse reports too many events, or events of another instance.
var ErrInvalidResponse = errors.New("invalid timeline response")

// QueryResult is the merged result of a query over several instances.
type QueryResult struct {
	Events []Event
	// Missing lists the instances without a valid response, sorted by ID.
	Missing []contract.InstanceID
}

// Collector serves and sends timeline queries over the link.
type Collector struct {
	log       *Log
	transport link.Transport
}

// NewCollector returns a collector and registers its handler. It must be
// called before the transport runs.
func NewCollector(log *Log, transport link.Transport) *Collector {
	c := &Collector{log: log, transport: transport}
	transport.Handle(MessageTimeline, c.handleQuery)
	return c
}

func (c *Collector) handleQuery(_ context.Context, _ contract.InstanceID, body []byte) ([]byte, error) {
	var query Query
	if err := link.Decode(body, &query); err != nil {
		return nil, err
	}
	query, err := query.normalize()
	if err != nil {
		return nil, err
	}
	return link.Encode(c.log.Select(query))
}

// Collect returns the events of this instance and of the given instances in
// causal order.
func (c *Collector) Collect(ctx context.Context, instances []contract.InstanceID, query Query) (QueryResult, error) {
	query, err := query.normalize()
	if err != nil {
		return QueryResult{}, err
	}
	body, err := link.Encode(query)
	if err != nil {
		return QueryResult{}, err
	}
	var mu sync.Mutex // guards lists and missing
	lists := [][]Event{c.log.Select(query)}
	var missing []contract.InstanceID
	var group errgroup.Group
	group.SetLimit(collectConcurrency)
	for _, id := range instances {
		group.Go(func() error {
			events, err := c.queryInstance(ctx, id, body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, id)
				return nil
			}
			lists = append(lists, events)
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(missing)
	return QueryResult{Events: latest(Merge(lists...), query.Limit), Missing: missing}, nil
}

func (c *Collector) queryInstance(ctx context.Context, id contract.InstanceID, body []byte) ([]Event, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	response, err := c.transport.Request(ctx, id, MessageTimeline, body)
	if err != nil {
		return nil, err
	}
	var events []Event
	if err := link.Decode(response, &events); err != nil {
		return nil, err
	}
	if len(events) > MaxEvents {
		return nil, ErrInvalidResponse
	}
	for _, e := range events {
		if e.Instance != id {
			return nil, errors.Wrapf(ErrInvalidResponse, "instance %s sent an event of %s", id, e.Instance)
		}
	}
	return events, nil
}
