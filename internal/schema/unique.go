package schema

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
)

// maxDepth limits the nesting of documents; the deepest setting has depth 4.
const maxDepth = 32

// checkUniqueKeys refuses duplicate keys: encoding/json merges the maps of
// duplicate members, while the schema check sees only the last one.
func checkUniqueKeys(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := walkValue(decoder, nil); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &ValidationError{Reason: "has data after the end of the JSON value"}
	}
	return nil
}

func walkValue(decoder *json.Decoder, path []string) error {
	if len(path) > maxDepth {
		return &ValidationError{Path: JoinPath(path), Reason: "is nested too deeply"}
	}
	token, err := decoder.Token()
	if err != nil {
		return notJSONError(err)
	}
	switch token {
	case json.Delim('{'):
		return walkObject(decoder, path)
	case json.Delim('['):
		return walkArray(decoder, path)
	}
	return nil
}

func walkObject(decoder *json.Decoder, path []string) error {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return notJSONError(err)
		}
		key, ok := token.(string)
		if !ok {
			return &ValidationError{Path: JoinPath(path), Reason: "is not valid JSON"}
		}
		inner := append(path[:len(path):len(path)], key)
		if seen[key] {
			return &ValidationError{Path: JoinPath(inner), Reason: "is given twice"}
		}
		seen[key] = true
		if err := walkValue(decoder, inner); err != nil {
			return err
		}
	}
	return readClosingDelim(decoder)
}

func walkArray(decoder *json.Decoder, path []string) error {
	for i := 0; decoder.More(); i++ {
		if err := walkValue(decoder, append(path[:len(path):len(path)], strconv.Itoa(i))); err != nil {
			return err
		}
	}
	return readClosingDelim(decoder)
}

func readClosingDelim(decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != nil {
		return notJSONError(err)
	}
	return nil
}

func notJSONError(err error) error {
	return &ValidationError{Reason: "is not valid JSON: " + err.Error()}
}

// CheckUniqueKeys refuses data that is not one JSON value or that has duplicate
// keys. The error is a *ValidationError.
func CheckUniqueKeys(data []byte) error { return checkUniqueKeys(data) }
