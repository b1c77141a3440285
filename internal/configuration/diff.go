package configuration

import (
	"github.com/cockroachdb/errors"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Diff returns the JSON Merge Patch that turns the document from into to.
func Diff(from, to Document) ([]byte, error) {
	before, err := EncodeDocument(from)
	if err != nil {
		return nil, err
	}
	after, err := EncodeDocument(to)
	if err != nil {
		return nil, err
	}
	patch, err := jsonpatch.CreateMergePatch(before, after)
	return patch, errors.Wrap(err, "compare configurations")
}
