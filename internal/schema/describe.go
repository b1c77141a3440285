package schema

import (
	"encoding/json"
	"fmt"
	"math/big"
	"regexp"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// namePattern is the format of identifiers. Schemas enforce it by
// patternProperties: for propertyNames, the library reports wrong paths, because
// it does not copy the location of such an error.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// describe converts an error of the library to a ValidationError. Its path includes an
// unknown or missing member.
func describe(e *jsonschema.ValidationError) *ValidationError {
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		member := slices.Min(k.Properties)
		if !namePattern.MatchString(member) {
			return newValidationError(e, "is not a valid name", member)
		}
		return newValidationError(e, "is not a known field", member)
	case *kind.Required:
		return newValidationError(e, "is required", k.Missing[0])
	default:
		return newValidationError(e, reason(e.ErrorKind))
	}
}

func newValidationError(e *jsonschema.ValidationError, reason string, member ...string) *ValidationError {
	location := e.InstanceLocation
	path := append(location[:len(location):len(location)], member...)
	return &ValidationError{Path: JoinPath(path), Reason: reason}
}

func reason(errorKind jsonschema.ErrorKind) string {
	switch k := errorKind.(type) {
	case *kind.Type:
		return fmt.Sprintf("must be of type %s, not %s", strings.Join(k.Want, " or "), k.Got)
	case *kind.Enum:
		return "must be one of " + valueList(k.Want)
	case *kind.Const:
		return "must be " + valueList([]any{k.Want})
	case *kind.Minimum:
		return "must be at least " + formatNumber(k.Want)
	case *kind.Maximum:
		return "must be at most " + formatNumber(k.Want)
	case *kind.ExclusiveMinimum:
		return "must be greater than " + formatNumber(k.Want)
	case *kind.ExclusiveMaximum:
		return "must be less than " + formatNumber(k.Want)
	case *kind.Pattern:
		return "must match " + k.Want
	default:
		return sizeReason(errorKind)
	}
}

func sizeReason(errorKind jsonschema.ErrorKind) string {
	switch k := errorKind.(type) {
	case *kind.MinLength:
		return fmt.Sprintf("must have at least %d characters", k.Want)
	case *kind.MaxLength:
		return fmt.Sprintf("must have at most %d characters", k.Want)
	case *kind.MinItems:
		return fmt.Sprintf("must have at least %d items", k.Want)
	case *kind.MaxItems:
		return fmt.Sprintf("must have at most %d items", k.Want)
	case *kind.MaxProperties:
		return fmt.Sprintf("must have at most %d members", k.Want)
	case *kind.UniqueItems:
		return fmt.Sprintf("items %d and %d are equal", k.Duplicates[0], k.Duplicates[1])
	default:
		return "violates " + strings.Join(errorKind.KeywordPath(), "/")
	}
}

func formatNumber(r *big.Rat) string {
	if r.IsInt() {
		return r.Num().String()
	}
	f, _ := r.Float64()
	return fmt.Sprint(f)
}

func valueList(values []any) string {
	texts := make([]string, 0, len(values))
	for _, v := range values {
		text, err := json.Marshal(v)
		if err != nil {
			text = fmt.Append(nil, v)
		}
		texts = append(texts, string(text))
	}
	return strings.Join(texts, ", ")
}
