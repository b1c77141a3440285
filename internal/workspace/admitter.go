// Package workspace admits requests: limits of workspaces, their shares at each
// instance, a queue that is fair between workspaces, and deadlines.
//
// The package must never hold back a refusal: a request that will not be
// served in time is refused at once.
package workspace

import (
	"context"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// Ask is a request for admission.
type Ask struct {
	Workspace contract.WorkspaceID
	Service   contract.ServiceID
	Priority  upstream.Priority
	Deadline  time.Time
}

// Admitter admits requests.
type Admitter interface {
	// Admit waits for a place. If ok is false the request is refused and the
	// verdict is final. release must be called once when the request ends.
	Admit(ctx context.Context, ask Ask) (release func(), verdict contract.Verdict, ok bool)
}
