// Package schema validates JSON documents against an embedded JSON schema and
// reports the first fault in one line with its path and reason.
//
// The package must never accept a document that decodes to a value other than the
// validated one: documents with duplicate keys or trailing data are refused.
package schema

import (
	"bytes"
	"encoding/json"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// ValidationError is the first violation found in a document.
type ValidationError struct {
	Path   string // members joined by dots, "" for the whole document
	Reason string
}

// Error returns "path: reason".
func (e *ValidationError) Error() string {
	if e.Path == "" {
		return e.Reason
	}
	return e.Path + ": " + e.Reason
}

// Schema is a compiled JSON schema. It is safe for concurrent use.
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles an embedded schema and panics if it is not valid.
func MustCompile(name string, text []byte) *Schema {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(errors.Wrapf(err, "schema %s", name))
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, parsed); err != nil {
		panic(errors.Wrapf(err, "schema %s", name))
	}
	return &Schema{compiled: compiler.MustCompile(name)}
}

// Decode validates data against the schema and decodes it into target. The error
// is a *ValidationError.
func (s *Schema) Decode(data []byte, target any) error {
	if err := checkUniqueKeys(data); err != nil {
		return err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return &ValidationError{Reason: "is not valid JSON: " + err.Error()}
	}
	if err := s.check(value); err != nil {
		return err
	}
	if err := json.Unmarshal(data, target); err != nil {
		return describeDecodeError(err)
	}
	return nil
}

func (s *Schema) check(value any) error {
	err := s.compiled.Validate(value)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return &ValidationError{Reason: err.Error()}
	}
	faults := appendInnermost(invalid, nil)
	slices.SortStableFunc(faults, func(a, b *ValidationError) int { return strings.Compare(a.Path, b.Path) })
	return faults[0]
}

// appendInnermost appends the innermost causes of e; outer ones only state that
// an inner one failed.
func appendInnermost(e *jsonschema.ValidationError, into []*ValidationError) []*ValidationError {
	if len(e.Causes) == 0 {
		return append(into, describe(e))
	}
	for _, cause := range e.Causes {
		into = appendInnermost(cause, into)
	}
	return into
}

// describeDecodeError describes a value that is valid by the schema but does not
// fit the Go type, such as 1.0 for an integer.
func describeDecodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &ValidationError{Path: mismatch.Field, Reason: "got " + mismatch.Value + ", want " + mismatch.Type.String()}
	}
	return &ValidationError{Reason: err.Error()}
}

// unquotedMember matches members that need no quotes in a path.
var unquotedMember = regexp.MustCompile(`^[A-Za-z0-9._ -]{1,64}$`)

// JoinPath joins the members of a path; numbers become indexes, as in seeds[0].id.
func JoinPath(members []string) string {
	var b strings.Builder
	for _, m := range members {
		if _, err := strconv.ParseUint(m, 10, 31); err == nil {
			b.WriteString("[" + m + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		if !unquotedMember.MatchString(m) {
			m = strconv.Quote(m)
		}
		b.WriteString(m)
	}
	return b.String()
}
