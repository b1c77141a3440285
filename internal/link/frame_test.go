package link

import (
	"bytes"
	"encoding/binary"
	"testing"

	. "github.com/onsi/gomega"
)

func withLengthPrefix(size uint32, data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, size), data...)
}

// Guards against a length prefix that makes the instance allocate memory, and
// against CBOR that decoders interpret differently.
func TestFramesOutsideTheLimitsAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, invalid := range [][]byte{
		withLengthPrefix(MaxFrameBytes+1, nil),
		withLengthPrefix(1<<32-1, []byte("x")),
		withLengthPrefix(MaxFrameBytes, []byte("short")),
		withLengthPrefix(0, nil),
		withLengthPrefix(2, []byte{0x9f, 0xff}),                               // indefinite length
		withLengthPrefix(4, []byte{0x82, 0xc1, 0x00, 0x40}),                   // tag
		withLengthPrefix(5, []byte{0x82, 0x61, 0xff, 0x41, 0x00}),             // invalid text
		withLengthPrefix(10, bytes.Repeat([]byte{0x81}, 10)),                  // nesting
		withLengthPrefix(5, []byte{0x82, 0x60, 0x40, 0x00, 0x00}),             // trailing bytes
		withLengthPrefix(5, []byte{0x9a, 0xff, 0xff, 0xff, 0xff}),             // huge array
		withLengthPrefix(7, []byte{0x82, 0x60, 0x5a, 0x7f, 0xff, 0xff, 0xff}), // huge byte string
	} {
		var frame requestFrame
		_, err := readFrame(bytes.NewReader(invalid), &frame)
		g.Expect(err).To(HaveOccurred(), "%x", invalid)
	}
}

func FuzzFrame(f *testing.F) {
	var good bytes.Buffer
	_, _ = writeFrame(&good, requestFrame{Kind: "echo", Body: []byte("body")})
	f.Add(good.Bytes())
	f.Add(withLengthPrefix(MaxFrameBytes+1, nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		var request requestFrame
		if n, err := readFrame(bytes.NewReader(data), &request); err == nil {
			if n > len(data) {
				t.Fatalf("read %d of %d bytes", n, len(data))
			}
			var encoded bytes.Buffer
			var decoded requestFrame
			if _, err := writeFrame(&encoded, request); err != nil {
				t.Fatal(err)
			}
			if _, err := readFrame(&encoded, &decoded); err != nil || decoded.Kind != request.Kind || !bytes.Equal(decoded.Body, request.Body) {
				t.Fatalf("frame changed: %v", err)
			}
		}
		var response responseFrame
		_, _ = readFrame(bytes.NewReader(data), &response)
	})
}
