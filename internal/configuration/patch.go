package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/schema"
)

// MaxPatchBytes bounds the JSON text of a patch.
const MaxPatchBytes = 4 << 20

// Patch is an operator's change against a base version.
type Patch struct {
	ID     string          `json:"patch_id"`
	Base   Version         `json:"base_version"`
	DryRun bool            `json:"dry_run,omitempty"` // validate only
	Body   json.RawMessage `json:"patch"`             // JSON Merge Patch (RFC 7396)
}

// Check reports whether the patch is well formed. The error is a *ValidationError.
func (p Patch) Check() error {
	if err := contract.CheckKey(p.ID); err != nil {
		return &ValidationError{Path: "patch_id", Reason: err.Error()}
	}
	if p.Base < 0 {
		return &ValidationError{Path: "base_version", Reason: "must be at least 0"}
	}
	if len(p.Body) > MaxPatchBytes {
		return &ValidationError{Path: "patch", Reason: "is larger than 4 MiB"}
	}
	if err := schema.CheckUniqueKeys(p.Body); err != nil {
		return err
	}
	// A merge patch that is not an object would replace the whole document.
	if !bytes.HasPrefix(bytes.TrimSpace(p.Body), []byte("{")) {
		return &ValidationError{Path: "patch", Reason: "must be a JSON object"}
	}
	return nil
}

// ApplyPatch applies a JSON Merge Patch to a document and checks the result.
// The error is a *ValidationError.
func ApplyPatch(base Document, body []byte) (Document, error) {
	text, err := EncodeDocument(base)
	if err != nil {
		return Document{}, &ValidationError{Reason: err.Error()}
	}
	merged, err := jsonpatch.MergePatch(text, body)
	if err != nil {
		return Document{}, &ValidationError{Path: "patch", Reason: err.Error()}
	}
	return ParseDocument(merged)
}

// fingerprint returns a hash of the base and the content of a patch. White space
// and the order of members do not change it.
func (p Patch) fingerprint() (string, error) {
	decoder := json.NewDecoder(bytes.NewReader(p.Body))
	decoder.UseNumber()
	var body any
	if err := decoder.Decode(&body); err != nil {
		return "", &ValidationError{Path: "patch", Reason: err.Error()}
	}
	canonical, err := json.Marshal(body)
	if err != nil {
		return "", &ValidationError{Path: "patch", Reason: err.Error()}
	}
	hash := sha256.New()
	hash.Write(strconv.AppendInt(nil, int64(p.Base), 10))
	hash.Write([]byte{'\n'})
	hash.Write(canonical)
	return hex.EncodeToString(hash.Sum(nil)), nil
}
