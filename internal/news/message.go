package news

import (
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
)

// messageUpdates asks a peer what is new.
const messageUpdates link.MessageType = "news"

// topics are what peers tell each other, in the order of the messages.
var topics = [...]discovery.Topic{discovery.Configuration, discovery.Upstreams, discovery.Crashes, discovery.Instances}

const (
	// maxResponseBytes bounds the rows of one answer, which must fit a frame. A topic that
	// does not fit is left out and told next time.
	maxResponseBytes = link.MaxFrame - 64<<10
	// maxHold bounds how long a question may ask to be held.
	maxHold = 10 * time.Second
	// maxKeyBytes is that of the store. A value is bounded by the answer: a configuration
	// with many routes has hundreds of kilobytes.
	maxKeyBytes   = 200
	maxValueBytes = maxResponseBytes
	// rowOverhead is about what a row takes beside its key and value.
	rowOverhead = 24
)

// wirePosition is a place in the log of a topic.
type wirePosition struct {
	_        struct{} `cbor:",toarray"`
	Log      string
	Sequence int64
	Version  int64 // of the store, that is known already
}

// updateRequest asks what is new since positions in the logs of all topics.
type updateRequest struct {
	Positions  []wirePosition `cbor:"1,keyasint"`
	HoldMS int64          `cbor:"2,keyasint"` // how long to wait for news
}

// updateResponse tells what is new.
type updateResponse struct {
	Topics  []wireUpdate `cbor:"1,keyasint"`
	HeldMS  int64      `cbor:"2,keyasint"` // how long the question was held
	Leaving bool       `cbor:"3,keyasint"` // the peer leaves: others should be asked
	Stale   bool       `cbor:"4,keyasint"` // the peer's own news is old; there are no rows then
}

// wireUpdate is the news of one topic.
type wireUpdate struct {
	_        struct{} `cbor:",toarray"`
	Known    bool     // the peer knows the topic
	Log      string
	Sequence int64
	Version  int64 // of the store
	AgeMS    int64 // since the store was asked
	Full    bool
	Rows     []wireRow
}

type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

var errInvalidMessage = errors.New("news cannot be read")

func decodeRequest(data []byte) (updateRequest, error) {
	var request updateRequest
	if err := link.Decode(data, &request); err != nil {
		return updateRequest{}, err
	}
	if len(request.Positions) != len(topics) || request.HoldMS < 0 || request.HoldMS > maxHold.Milliseconds() {
		return updateRequest{}, errors.Wrapf(errInvalidMessage, "%d topics, hold %d ms", len(request.Positions), request.HoldMS)
	}
	return request, nil
}

func decodeResponse(data []byte) (updateResponse, error) {
	var response updateResponse
	if err := link.Decode(data, &response); err != nil {
		return updateResponse{}, err
	}
	if response.Stale {
		return updateResponse{Stale: true}, nil
	}
	if len(response.Topics) != len(topics) || response.HeldMS < 0 || response.HeldMS > maxHold.Milliseconds() {
		return updateResponse{}, errors.Wrapf(errInvalidMessage, "%d topics, held %d ms", len(response.Topics), response.HeldMS)
	}
	for _, update := range response.Topics {
		if update.Version < 0 || update.Sequence < 0 || update.AgeMS < 0 || update.AgeMS > maxUpdateAge.Milliseconds() {
			return updateResponse{}, errors.Wrapf(errInvalidMessage, "version %d, sequence %d, age %d ms", update.Version, update.Sequence, update.AgeMS)
		}
		for _, r := range update.Rows {
			if r.Key == "" || len(r.Key) > maxKeyBytes || len(r.Value) > maxValueBytes {
				return updateResponse{}, errors.Wrapf(errInvalidMessage, "key of %d bytes, value of %d", len(r.Key), len(r.Value))
			}
		}
	}
	return response, nil
}

// maxUpdateAge is the age from which news says nothing. It also keeps ages within a time.Duration.
const maxUpdateAge = 24 * time.Hour

// size is about what a topic's news takes in a message.
func (u wireUpdate) size() int {
	size := 0
	for _, r := range u.Rows {
		size += len(r.Key) + len(r.Value) + rowOverhead
	}
	return size
}

// toWire returns the news of a log for a peer.
func toWire(update discovery.News, to discovery.Position, known bool, now time.Duration) wireUpdate {
	wire := wireUpdate{Known: known, Log: to.Log, Sequence: to.Sequence, Version: update.Version, Full: update.Whole}
	if !known {
		return wire
	}
	wire.AgeMS = min(max(0, now-update.At), maxUpdateAge).Milliseconds() + 1 // rounded up
	for _, r := range update.Rows {
		wire.Rows = append(wire.Rows, wireRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return wire
}

// fromWire returns the news of a peer, as of the moment at which the store was asked by
// this instance's clock.
func fromWire(wire wireUpdate, at time.Duration) (update discovery.News, to discovery.Position) {
	update = discovery.News{Batch: discovery.Batch{Version: wire.Version}, Whole: wire.Full, At: at}
	for _, r := range wire.Rows {
		update.Rows = append(update.Rows, discovery.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return update, discovery.Position{Log: wire.Log, Sequence: wire.Sequence}
}
