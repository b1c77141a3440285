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
	InputTick                            // the timer expired
	InputPlaced                          // an upstream was chosen for Attempt
	InputNoPlacement                     // no upstream can take Attempt now
	InputOpened                          // the engine accepted the start or the probe on Connection
	InputEvent                           // a token or the end arrived on Connection
	InputLost                            // Connection was lost
	InputRefused                         // the engine refused and did not run the request
	InputLeaving                         // the engine is draining and did not run the request
	InputUnreachable                     // no connection could be made
	InputStreamNotFound                  // the probed engine does not have the stream
	InputPrefixMismatch                  // the text of the probed engine's stream differs
	InputCancelled                       // the cancellation of Attempt was confirmed or timed out
	InputStartsEnded                     // the instance may start no generation any more
	InputAbandoned                       // no caller was connected during the grace period
	InputDiverged                        // the text differs from the caller's text
)

// Input is an event that the machine reacts to. InputPlaced or InputNoPlacement
// must directly follow the step that returned the ActionStart.
type Input struct {
	Kind          InputKind
	Attempt       contract.AttemptNumber
	Connection    ConnectionID
	Event         upstream.StreamEvent   // InputEvent
	Upstream      contract.UpstreamID    // InputPlaced
	RetryAfter    time.Duration          // InputNoPlacement: retry after
	VersionGone   bool                   // InputNoPlacement: no engine serves the pinned version
	ContentStatus upstream.ContentStatus // status of the content; ignored for InputEvent
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	ActionStart           ActionKind = iota // place Attempt on an upstream and start it over Connection
	ActionProbe                             // resume the stream of Attempt over the new Connection
	ActionCloseConnection                   // close Connection; the engine keeps the stream
	ActionEndAttempt                        // end Attempt: close its connections and report Observation
	ActionSwitchAttempt                     // make Attempt the current attempt
	ActionDeliver                           // append Token to the text
	ActionFinish                            // end the generation with Verdict
)

// Action is an instruction of the machine to the runner.
type Action struct {
	Kind        ActionKind
	Attempt     contract.AttemptNumber
	Connection  ConnectionID
	Stream      upstream.StreamID        // ActionStart
	Avoid       []contract.UpstreamID    // ActionStart
	Resumed     bool                     // ActionStart: the attempt continues a text or replaces a failed attempt
	Observation upstream.ObservationKind // ActionEndAttempt; ActionProbe: why the attempt is suspected
	Cancel      bool                     // ActionEndAttempt: cancel the stream at the engine
	Connections []ConnectionID           // ActionEndAttempt: connections to close
	Token       contract.Token           // ActionDeliver
	Verdict     contract.Verdict         // ActionFinish
}
