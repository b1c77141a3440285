package instance

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"foxtailhub.example/foxtailhub/internal/api/oas"
)

// The generated decoder returns errors whose text names Go types and functions.
// These patterns extract the parts that a caller needs.
var (
	fieldPattern        = regexp.MustCompile(`decode field "([^"]+)"`)
	unknownFieldPattern = regexp.MustCompile(`unexpected field "([^"]+)"`)
	invalidValuePattern = regexp.MustCompile(`invalid: (\S+) \((.*)\)$`)
	minimumPattern      = regexp.MustCompile(`value \S+ less than (\S+)$`)
	maximumPattern      = regexp.MustCompile(`value \S+ greater than (\S+)$`)
	minLengthPattern    = regexp.MustCompile(`len \d+ less than minimum (\d+)$`)
	maxLengthPattern    = regexp.MustCompile(`len \d+ greater than maximum (\d+)$`)
	mismatchPattern     = regexp.MustCompile(`no regex match: (.*)$`)
)

// fieldTypes maps request fields to their types, for messages on type mismatches.
var fieldTypes = map[string]string{
	"prompt": "string", "max_tokens": "integer", "deadline_ms": "integer", "temperature": "number", "seed": "integer",
	"resume": "object", "resume.position": "string", "resume.locator": "string", "resume.received": "array of strings",
	"method": "string", "path": "string", "body": "string",
	"patch_id": "string", "base_version": "integer", "dry_run": "boolean",
}

// decodeMessage returns one line with the path of the invalid value and the reason.
func decodeMessage(err error) string {
	var parameter *ogenerrors.DecodeParamError
	if errors.As(err, &parameter) {
		return parameter.Name + ": " + parameterReason(parameter.Err)
	}
	var contentType *validate.InvalidContentTypeError
	if errors.As(err, &contentType) {
		return "Content-Type: must be application/json"
	}
	var body *ogenerrors.DecodeRequestError
	if errors.As(err, &body) {
		err = body.Err
	}
	return bodyMessage(strings.ReplaceAll(err.Error(), "\n", " "))
}

func parameterReason(err error) string {
	if errors.Is(err, strconv.ErrSyntax) || errors.Is(err, strconv.ErrRange) {
		return "must be of type integer"
	}
	text := err.Error()
	if m := invalidValuePattern.FindStringSubmatch(text); m != nil {
		text = m[2]
	}
	return valueReason("", text)
}

// bodyMessage translates a decoder error about a request body.
func bodyMessage(text string) string {
	var path []string
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		path = append(path, m[1])
	}
	if m := unknownFieldPattern.FindStringSubmatch(text); m != nil {
		return strings.Join(append(path, m[1]), ".") + ": is not a known field"
	}
	if m := invalidValuePattern.FindStringSubmatch(text); m != nil {
		field := strings.Join(append(path, m[1]), ".")
		return field + ": " + valueReason(field, m[2])
	}
	field := strings.Join(path, ".")
	switch {
	case strings.HasSuffix(text, "body required"):
		return "request body: is required"
	case strings.Contains(text, "value out of range"):
		return field + ": is out of range"
	case strings.HasSuffix(text, "EOF"):
		return "request body: is not valid JSON"
	case fieldTypes[field] != "":
		return field + ": must be of type " + fieldTypes[field]
	case strings.Contains(text, `"{" expected`):
		return "request body: must be a JSON object"
	}
	return "request body: is not valid JSON"
}

// valueReason translates a decoder error about a single value.
func valueReason(field, text string) string {
	for _, rule := range []struct {
		pattern *regexp.Regexp
		prefix  string
		suffix  string
	}{
		{minimumPattern, "must be at least ", ""},
		{maximumPattern, "must be at most ", ""},
		{minLengthPattern, "must have at least ", " characters"},
		{maxLengthPattern, "must have at most ", " characters"},
		{mismatchPattern, "must match ", ""},
	} {
		if m := rule.pattern.FindStringSubmatch(text); m != nil {
			return rule.prefix + trimDecimals(m[1]) + rule.suffix
		}
	}
	switch {
	case text == validate.ErrFieldRequired.Error():
		return "is required"
	case field == "method":
		return "must be one of " + allowedMethods()
	default:
		return "is not valid"
	}
}

// trimDecimals removes trailing zeros of a decimal number, as in 2.000000.
func trimDecimals(text string) string {
	if f, err := strconv.ParseFloat(text, 64); err == nil {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return text
}

func allowedMethods() string {
	var names []string
	for _, method := range oas.CallRequestMethod("").AllValues() {
		names = append(names, string(method))
	}
	return strings.Join(names, ", ")
}
