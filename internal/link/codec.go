package link

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes is the largest frame in bytes, without its length prefix. A longer
// frame is rejected before its data is read.
const MaxFrameBytes = 1 << 20

// frameHeaderBytes is the size of the length prefix in bytes.
const frameHeaderBytes = 4

// maxElements bounds the number of elements of an array or map in a message.
const maxElements = 16384

// Errors of frames.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the limit of 1 MiB")
	ErrMalformed     = errors.New("message is malformed")
)

var encodeMode = mustEncodeMode()

var decodeMode = mustDecodeMode()

func mustEncodeMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecodeMode rejects CBOR that no instance sends: duplicate keys, indefinite
// lengths, tags, deep nesting, invalid UTF-8. Unknown fields are accepted, so that
// instances of adjacent releases can run together during a rolling update.
func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		UTF8:             cbor.UTF8RejectInvalid,
		MaxNestedLevels:  8,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns v as CBOR.
func Encode(v any) ([]byte, error) { return encodeMode.Marshal(v) }

// Decode decodes CBOR from a peer into v. It rejects trailing bytes and the forms
// that mustDecodeMode excludes.
func Decode(data []byte, v any) error {
	if err := decodeMode.Unmarshal(data, v); err != nil {
		return errors.Wrapf(ErrMalformed, "%v", err)
	}
	return nil
}

// requestFrame is the first and only frame that the requester sends on a stream.
type requestFrame struct {
	_    struct{}    `cbor:",toarray"`
	Kind MessageType // message type
	Body []byte
}

// responseFrame is the response to a request, or one frame of a streamed response.
type responseFrame struct {
	_     struct{} `cbor:",toarray"`
	Error string   // not empty: the request was rejected
	End   bool     // last frame of a streamed response; it has no body
	Body  []byte
}

// writeFrame writes v with a length prefix. It returns the number of bytes written.
func writeFrame(w io.Writer, v any) (int, error) {
	data, err := Encode(v)
	if err != nil {
		return 0, err
	}
	if len(data) > MaxFrameBytes {
		return 0, ErrFrameTooLarge
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	return w.Write(append(frame, data...))
}

// readFrame decodes a frame into v. It returns the number of bytes read, and
// io.EOF if the stream ends before the frame.
func readFrame(r io.Reader, v any) (int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return frameHeaderBytes, ErrFrameTooLarge
	}
	// The buffer grows with the received data, so that a length prefix alone
	// cannot make this instance allocate memory.
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return frameHeaderBytes + len(data), err
	}
	if len(data) < int(size) {
		return frameHeaderBytes + len(data), io.ErrUnexpectedEOF
	}
	return frameHeaderBytes + len(data), Decode(data, v)
}
