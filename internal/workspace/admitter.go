// Package workspace implements admission control: rate and concurrency limits
// of workspaces, the share of each instance in them, a queue that is fair
// between workspaces, and deadlines.
//
// A refusal must never be delayed: a request that cannot be served in time is
// refused immediately.
package workspace

import (
	"context"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// AdmissionRequest is a request for admission.
type AdmissionRequest struct {
	Workspace contract.WorkspaceID
	Service   contract.ServiceID
	Priority  upstream.Priority
	Deadline  time.Time
}

// Admitter admits requests.
type Admitter interface {
	// Admit waits for a slot. If ok is false, the request is refused and the
	// verdict is final. release must be called once when the request ends.
	Admit(ctx context.Context, request AdmissionRequest) (release func(), verdict contract.Verdict, ok bool)
}
