package instance

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/api/oas"
)

// Guards against error messages that contain Go types or functions or lack the
// path. Fails if an update of the generated decoder changes its error texts.
func TestDecodeMessages(t *testing.T) {
	g := NewWithT(t)
	h := &handler{}
	server, err := oas.NewServer(h, h, oas.WithErrorHandler(writeDecodeError))
	g.Expect(err).NotTo(HaveOccurred())
	generations, calls := "/v1/workspaces/a/services/b/generations", "/v1/workspaces/a/services/b/calls"
	patches := "/v1/configuration/patches"
	for _, c := range []struct{ path, key, body, message string }{
		{generations, "k", `{"prompt":"x","max_token":3}`, "max_token: is not a known field"},
		{generations, "k", `{"prompt":7}`, "prompt: must be of type string"},
		{generations, "k", `{"prompt":"x","max_tokens":-3}`, "max_tokens: must be at least 1"},
		{generations, "k", `{"prompt":"x","max_tokens":1.5}`, "max_tokens: must be of type integer"},
		{generations, "k", `{"prompt":"x","max_tokens":99999999999999999999}`, "max_tokens: is out of range"},
		{generations, "k", `{"prompt":"x","temperature":9}`, "temperature: must be at most 2"},
		{generations, "k", `{}`, "prompt: is required"},
		{generations, "k", `{"prompt":"x"`, "request body: is not valid JSON"},
		{generations, "k", `{"prompt":"x"} x`, "request body: is not valid JSON"},
		{generations, "k", `[]`, "request body: must be a JSON object"},
		{generations, "k", ``, "request body: is required"},
		{generations, "", `{"prompt":"x"}`, "Idempotency-Key: is required"},
		{generations, "a b", `{"prompt":"x"}`, "Idempotency-Key: must match ^[A-Za-z0-9._:-]{1,128}$"},
		{generations, "k", `{"prompt":"x","resume":{}}`, "resume.position: is required"},
		{generations, "k", `{"prompt":"x","resume":{"position":7}}`, "resume.position: must be of type string"},
		{generations, "k", `{"prompt":"x","resume":{"position":"7","received":[1]}}`, "resume.received: must be of type array of strings"},
		{calls, "k", `{"method":"FETCH"}`, "method: must be one of GET, POST, PUT, DELETE"},
		{calls, "k", `{"body":{"a":1}}`, "body: must be of type string"},
		{patches, "", `{"patch_id":"p 1","base_version":1,"patch":{}}`, "patch_id: must match ^[A-Za-z0-9._:-]{1,128}$"},
		{patches, "", `{"patch_id":"p","base_version":1,"dry_run":1,"patch":{}}`, "dry_run: must be of type boolean"},
	} {
		request := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
		request.Header.Set("Content-Type", "application/json")
		if c.key != "" {
			request.Header.Set("Idempotency-Key", c.key)
		}
		response := httptest.NewRecorder()
		server.ServeHTTP(response, request)
		var errorBody oas.Error
		g.Expect(json.Unmarshal(response.Body.Bytes(), &errorBody)).To(Succeed())
		g.Expect(errorBody.Message).To(Equal(c.message), c.body)
		g.Expect(response.Code).To(Equal(http.StatusBadRequest))
	}
}
