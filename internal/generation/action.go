package generation

import (
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// ConnectionID numbers the connections of one generation, from 1.
type ConnectionID uint32

// InputKind is the kind of an Input.
type InputKind int

// Kinds of inputs.
const (
	InputBegin          InputKind = iota // the generation begins
	InputTick                            // time has passed
	InputPlaced                          // an upstream was chosen for Attempt
	InputNoPlacement                     // no upstream can take Attempt now
	InputOpened                          // the engine answered the start or the probe on Connection
	InputEvent                           // a token or the end arrived on Connection
	InputLost                            // Connection was lost
	InputRefused                         // the engine is alive and did not run the request
	InputLeaving                         // the engine is leaving and did not run the request
	InputUnreachable                     // no connection could be made
	InputStreamNotFound                  // the probed engine does not know the stream
	InputPrefixMismatch                  // the probed engine's stream has another text
	InputCancelled                       // the cancellation of Attempt was answered or timed out
	InputAbandoned                       // no caller was connected for the grace time
	InputDiverged                        // the text is not the one that the caller holds
)

// Input is what happened. InputPlaced or InputNoPlacement must directly follow
// the step that returned the ActionStart.
type Input struct {
	Kind       InputKind
	Attempt    contract.AttemptNumber
	Connection ConnectionID
	Event      upstream.StreamEvent // InputEvent
	Upstream   contract.UpstreamID  // InputPlaced
	Wait       time.Duration        // InputNoPlacement: when to come back
	Gone       bool                 // InputNoPlacement: no engine serves the pinned version
	Standing   upstream.Standing    // of the content; ignored for InputEvent
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	ActionStart   ActionKind = iota // place Attempt and start it over Connection
	ActionProbe                     // resume the stream of Attempt over the new Connection
	ActionClose                     // close Connection; the engine keeps the stream
	ActionEnd                       // Attempt is over: close its connections, report Observed
	ActionSwitch                    // Attempt becomes the current attempt
	ActionDeliver                   // Token is accepted
	ActionFinish                    // the generation ends with Verdict
)

// Action is what the runner has to do.
type Action struct {
	Kind        ActionKind
	Attempt     contract.AttemptNumber
	Connection  ConnectionID
	Stream      upstream.StreamID        // ActionStart
	Avoid       []contract.UpstreamID    // ActionStart
	Resumed     bool                     // ActionStart: it continues a text or replaces a failed attempt
	Observed    upstream.ObservationKind // ActionEnd; ActionProbe: why the attempt is suspected
	Cancel      bool                     // ActionEnd: cancel the stream at the engine
	Connections []ConnectionID           // ActionEnd: to close
	Token       contract.Token           // ActionDeliver
	Verdict     contract.Verdict         // ActionFinish
}
