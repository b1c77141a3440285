package generation

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

const (
	locatorVersion = 1
	// maxLocatorLength is the limit in the HTTP API, in characters.
	maxLocatorLength = 1024
)

// RequestTag binds a locator to one request, so that the locator of another
// request is rejected.
type RequestTag [8]byte

// TagOf returns the tag of a request: a hash of its identifier and content key.
func TagOf(id contract.RequestID, content upstream.ContentKey) RequestTag {
	sum := sha256.Sum256(append([]byte(id.String()+"\n"), content[:]...))
	return RequestTag(sum[:len(RequestTag{})])
}

// Locator names the instance that holds a generation and the engine's stream
// that produces it. Callers handle it as an opaque string.
type Locator struct {
	Version       int                    `cbor:"1,keyasint"`
	Tag           RequestTag             `cbor:"2,keyasint"`
	Holder        contract.InstanceID    `cbor:"3,keyasint"`
	Upstream      contract.UpstreamID    `cbor:"4,keyasint"`
	Stream        upstream.StreamID      `cbor:"5,keyasint"`
	Attempt       contract.AttemptNumber `cbor:"6,keyasint"`
	Pin           upstream.ModelPin      `cbor:"7,keyasint"`
	Sampling      upstream.Sampling      `cbor:"8,keyasint"`
	Base          int64                  `cbor:"9,keyasint"`            // offset of the stream's first token
	DigesterState []byte                 `cbor:"10,keyasint,omitempty"` // of the digester at Base; empty if Base is 0
}

// ErrLocatorInvalid reports a string that is not a locator of this version.
var ErrLocatorInvalid = errors.New("locator is invalid")

// Encode returns the opaque string.
func (l Locator) Encode() string {
	l.Version = locatorVersion
	encoded, err := cbor.Marshal(l)
	contract.Invariant(err == nil, "locator cannot be encoded", "error", err)
	return base64.RawURLEncoding.EncodeToString(encoded)
}

// DecodeLocator parses the opaque string.
func DecodeLocator(s string) (Locator, error) {
	if len(s) > maxLocatorLength {
		return Locator{}, errors.Wrapf(ErrLocatorInvalid, "%d characters", len(s))
	}
	encoded, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return Locator{}, errors.Wrapf(ErrLocatorInvalid, "%v", err)
	}
	var l Locator
	if err := cbor.Unmarshal(encoded, &l); err != nil {
		return Locator{}, errors.Wrapf(ErrLocatorInvalid, "%v", err)
	}
	if err := l.check(); err != nil {
		return Locator{}, err
	}
	return l, nil
}

func (l Locator) check() error {
	named := l.Holder != "" && l.Upstream != "" && l.Stream != "" && l.Attempt > 0
	if l.Version != locatorVersion || !named || l.Base < 0 {
		return ErrLocatorInvalid
	}
	_, err := l.digester()
	return err
}

// digester returns the digester of the text before Base.
func (l Locator) digester() (*contract.Digester, error) {
	if l.Base == 0 {
		return contract.NewDigester(), nil
	}
	d, err := contract.RestoreDigester(l.DigesterState, l.Base)
	if err != nil {
		return nil, errors.Wrapf(ErrLocatorInvalid, "%v", err)
	}
	return d, nil
}

// locatorFor returns the caller's locator if it belongs to the request.
func locatorFor(r Request, content upstream.ContentKey) (Locator, bool) {
	if r.Resume == nil || r.Resume.Locator == "" {
		return Locator{}, false
	}
	l, err := DecodeLocator(r.Resume.Locator)
	if err != nil {
		return Locator{}, false
	}
	sameModel := l.Pin.Model == r.Pin.Model && l.Pin.Adapter == r.Pin.Adapter
	return l, sameModel && l.Tag == TagOf(r.ID, content)
}
