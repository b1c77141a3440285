package configuration

import (
	_ "embed"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/schema"
)

//go:embed schema.json
var schemaText []byte

var documentSchema = schema.MustCompile("configuration.json", schemaText)

// MaxDocumentBytes bounds the JSON text of a document.
const MaxDocumentBytes = 8 << 20

// ValidationError is the first fault found in a document: its path and the reason.
type ValidationError = schema.ValidationError

// ParseDocument decodes a document and checks it against the schema and with
// Validate. The error is a *ValidationError.
func ParseDocument(data []byte) (Document, error) {
	if len(data) > MaxDocumentBytes {
		return Document{}, &ValidationError{Reason: "document is larger than 8 MiB"}
	}
	var document Document
	if err := documentSchema.Decode(data, &document); err != nil {
		return Document{}, err
	}
	document = document.normalized()
	if err := Validate(document); err != nil {
		return Document{}, err
	}
	return document, nil
}

// EncodeDocument returns the JSON text of a document as it is stored.
func EncodeDocument(document Document) ([]byte, error) {
	data, err := json.Marshal(document.normalized())
	return data, errors.Wrap(err, "encode configuration")
}

// storedSnapshot is a Snapshot whose document is not validated yet.
type storedSnapshot struct {
	Snapshot
	Document json.RawMessage `json:"document"`
}

// EncodeSnapshot returns the JSON text of a snapshot, as stored and as sent to
// peers. Its document must be as accepted, without defaults applied.
func EncodeSnapshot(snapshot *Snapshot) ([]byte, error) {
	copied := *snapshot
	copied.Document = snapshot.Document.normalized()
	data, err := json.Marshal(copied)
	return data, errors.Wrap(err, "encode configuration version")
}

// DecodeSnapshot decodes a snapshot from the store or a peer and validates its
// version and document.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	if len(data) > MaxDocumentBytes {
		return nil, errors.New("configuration version is larger than 8 MiB")
	}
	var stored storedSnapshot
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "decode configuration version")
	}
	if stored.Version < 1 {
		return nil, errors.Newf("configuration version %d is not positive", stored.Version)
	}
	document, err := ParseDocument(stored.Document)
	if err != nil {
		return nil, errors.Wrapf(err, "configuration version %d", stored.Version)
	}
	snapshot := stored.Snapshot
	snapshot.Document = document
	return &snapshot, nil
}

// normalized returns the document with empty maps in place of nil maps, which
// JSON encodes as null and the schema rejects.
func (d Document) normalized() Document {
	d.Services = orEmpty(d.Services)
	d.Upstreams = orEmpty(d.Upstreams)
	d.Workspaces = orEmpty(d.Workspaces)
	d.Rules = orEmpty(d.Rules)
	return d
}

func orEmpty[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}
