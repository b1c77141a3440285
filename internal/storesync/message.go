package storesync

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
)

// messageUpdates is the type of a request for updates.
const messageUpdates link.MessageType = "news"

// topics are the topics that peers exchange, in their order in messages.
var topics = [...]discovery.Topic{discovery.Configuration, discovery.Upstreams, discovery.Notices, discovery.Instances}

const (
	// maxResponseBytes bounds the rows of one response, which must fit a frame. A topic
	// that does not fit is sent in the next response.
	maxResponseBytes = link.MaxFrameBytes - 64<<10
	// maxHoldTime bounds the hold time of a request.
	maxHoldTime = 10 * time.Second
	// maxKeyBytes is the limit of the store. Values are bounded by the response only: a
	// configuration with many routes has hundreds of kilobytes.
	maxKeyBytes   = 200
	maxValueBytes = maxResponseBytes
	// rowOverhead is the approximate encoded size of a row without its key and value.
	rowOverhead = 24
)

// wirePosition is a position in the change log of a topic.
type wirePosition struct {
	_        struct{} `cbor:",toarray"`
	Log      string
	Sequence int64
	Version  int64 // version of the store that the requester has
}

// updateRequest requests the updates after positions in the change logs of all topics.
type updateRequest struct {
	Positions []wirePosition `cbor:"1,keyasint"`
	HoldMS    int64          `cbor:"2,keyasint"` // how long to hold the request while there are no updates
	// Eras has the era of the version of each position. Builds of before the eras send none, here
	// and in responses.
	Eras []int64 `cbor:"3,keyasint,omitempty"`
}

// updateResponse contains the updates of all topics.
type updateResponse struct {
	Topics  []wireUpdate `cbor:"1,keyasint"`
	HeldMS  int64        `cbor:"2,keyasint"`           // how long the request was held
	Leaving bool         `cbor:"3,keyasint"`           // the peer is leaving; followers should choose another source
	Stale   bool         `cbor:"4,keyasint"`           // the peer's own rows are stale and not sent
	Eras    []int64      `cbor:"5,keyasint,omitempty"` // of the version of each topic
}

// wireUpdate is the update of one topic.
type wireUpdate struct {
	_        struct{} `cbor:",toarray"`
	Loaded   bool     // the peer has read the topic
	Log      string
	Sequence int64
	Version  int64 // version of the store
	AgeMS    int64 // since the request to the store
	Full     bool  // Rows contains all rows, not only changes
	Rows     []wireRow
}

type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

var errInvalidMessage = errors.New("invalid update message")

func decodeRequest(data []byte) (updateRequest, error) {
	var request updateRequest
	if err := link.Decode(data, &request); err != nil {
		return updateRequest{}, err
	}
	if len(request.Positions) != len(topics) || request.HoldMS < 0 || request.HoldMS > maxHoldTime.Milliseconds() {
		return updateRequest{}, errors.Wrapf(errInvalidMessage, "%d topics, hold %d ms", len(request.Positions), request.HoldMS)
	}
	if !validEras(request.Eras) {
		return updateRequest{}, errors.Wrapf(errInvalidMessage, "%d eras", len(request.Eras))
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
	if len(response.Topics) != len(topics) || response.HeldMS < 0 || response.HeldMS > maxHoldTime.Milliseconds() {
		return updateResponse{}, errors.Wrapf(errInvalidMessage, "%d topics, held %d ms", len(response.Topics), response.HeldMS)
	}
	if !validEras(response.Eras) {
		return updateResponse{}, errors.Wrapf(errInvalidMessage, "%d eras", len(response.Eras))
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

// validEras reports whether a message has an era of each topic, or none.
func validEras(eras []int64) bool {
	return (len(eras) == 0 || len(eras) == len(topics)) && !slices.ContainsFunc(eras, func(era int64) bool { return era < 0 })
}

// eraOf returns the era of a topic in a message; 0 if it is not stated.
func eraOf(eras []int64, topic int) discovery.Era {
	if len(eras) == 0 {
		return 0
	}
	return discovery.Era(eras[topic])
}

// maxUpdateAge caps the age of updates, so that it fits a time.Duration. Updates of that
// age carry no information.
const maxUpdateAge = 24 * time.Hour

// size returns the approximate encoded size of an update.
func (u wireUpdate) size() int {
	size := 0
	for _, r := range u.Rows {
		size += len(r.Key) + len(r.Value) + rowOverhead
	}
	return size
}

// toWire encodes an update of a change log for a peer.
func toWire(update discovery.Update, to discovery.Position, loaded bool, now time.Duration) wireUpdate {
	wire := wireUpdate{Loaded: loaded, Log: to.LogID, Sequence: to.Sequence, Version: update.Version, Full: update.Full}
	if !loaded {
		return wire
	}
	wire.AgeMS = min(max(0, now-update.AsOf), maxUpdateAge).Milliseconds() + 1 // rounded up
	for _, r := range update.Rows {
		wire.Rows = append(wire.Rows, wireRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return wire
}

// fromWire decodes an update of a peer in an era. at is the time of the request to the store by
// this instance's clock.
func fromWire(wire wireUpdate, era discovery.Era, at time.Duration) (update discovery.Update, to discovery.Position) {
	update = discovery.Update{Batch: discovery.Batch{Version: wire.Version, Era: era}, Full: wire.Full, AsOf: at}
	for _, r := range wire.Rows {
		update.Rows = append(update.Rows, discovery.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return update, discovery.Position{LogID: wire.Log, Sequence: wire.Sequence}
}
