package instance

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/jx"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/timeline"
)

// GetConfiguration serves GET /v1/configuration.
func (h *handler) GetConfiguration(context.Context) (*oas.Configuration, error) {
	return encodeConfiguration(h.holder.Accepted())
}

// GetConfigurationVersion serves GET /v1/configuration/versions/{version}.
func (h *handler) GetConfigurationVersion(ctx context.Context, params oas.GetConfigurationVersionParams) (*oas.Configuration, error) {
	version := configuration.Version(params.Version)
	if held := h.holder.Accepted(); held.Version == version {
		return encodeConfiguration(held)
	}
	snapshot, err := h.store.Version(ctx, version)
	if err != nil {
		return nil, storeError(err)
	}
	return encodeConfiguration(snapshot)
}

func encodeConfiguration(snapshot *configuration.Snapshot) (*oas.Configuration, error) {
	document, err := configuration.EncodeDocument(snapshot.Document)
	if err != nil {
		return nil, err
	}
	response := &oas.Configuration{Version: int64(snapshot.Version), Document: jx.Raw(document)}
	if snapshot.Version > 0 {
		response.PatchID.SetTo(snapshot.PatchID)
		response.Accepted.SetTo(snapshot.AcceptedAt)
	}
	return response, nil
}

// ListConfigurationVersions serves GET /v1/configuration/versions.
func (h *handler) ListConfigurationVersions(
	ctx context.Context, params oas.ListConfigurationVersionsParams,
) ([]oas.VersionInfo, error) {
	snapshots, err := h.store.History(ctx, params.Limit.Or(20))
	if err != nil {
		return nil, storeError(err)
	}
	versions := make([]oas.VersionInfo, 0, len(snapshots))
	for _, s := range snapshots {
		versions = append(versions, oas.VersionInfo{Version: int64(s.Version), PatchID: s.PatchID, Accepted: s.AcceptedAt})
	}
	return versions, nil
}

// SubmitPatch serves POST /v1/configuration/patches.
func (h *handler) SubmitPatch(ctx context.Context, body *oas.PatchRequest) (*oas.PatchResult, error) {
	result := h.acceptor.Submit(ctx, configuration.Patch{
		ID:     string(body.PatchID),
		Base:   configuration.Version(body.BaseVersion),
		DryRun: body.DryRun.Or(false),
		Body:   []byte(body.Patch),
	})
	response := &oas.PatchResult{Status: oas.PatchResultStatus(result.Status), Version: int64(result.Version)}
	if result.Message != "" {
		response.Message.SetTo(result.Message)
	}
	if result.RetryAfter > 0 {
		response.RetryAfterMs.SetTo(result.RetryAfter.Milliseconds())
	}
	if result.Document != nil {
		document, err := configuration.EncodeDocument(*result.Document)
		if err != nil {
			return nil, err
		}
		response.Document = document
	}
	return response, nil
}

// GetStatus serves GET /v1/status.
func (h *handler) GetStatus(context.Context) (*oas.Status, error) {
	view := h.membership.View()
	status := &oas.Status{
		Instance:      string(view.Self().ID),
		Region:        view.Self().Region,
		FailureDomain: string(view.Self().Domain),
		State:         string(h.lifecycle.currentState()),
		Confirmed:     h.lifecycle.confirmed(),
		Version:       int64(h.source.Current().Version),
		Active:        int(h.activity.generations.Load() + h.activity.calls.Load()),
		Peers:         []oas.PeerStatus{},
		Upstreams:     []oas.UpstreamStatus{},
		Quarantined:   []oas.QuarantineStatus{},
	}
	now := time.Now()
	for _, m := range view.Members() {
		if m.KnownUntil.IsZero() {
			continue
		}
		peer := oas.PeerStatus{
			Instance: string(m.ID), FailureDomain: string(m.Domain), State: m.State.String(), Version: m.HeldVersion, SilentMs: -1,
		}
		if contact := later(m.LastContact, m.LastRoundTrip); !contact.IsZero() {
			peer.SilentMs = now.Sub(contact).Milliseconds()
		}
		status.Peers = append(status.Peers, peer)
	}
	for _, u := range h.upstreams.Status() {
		status.Upstreams = append(status.Upstreams, oas.UpstreamStatus{
			Upstream: string(u.ID), FailureDomain: string(u.FailureDomain), State: string(u.State), Running: u.Running, Slots: u.Slots,
		})
	}
	status.Quarantined = append(status.Quarantined, h.suspectContents()...)
	return status, nil
}

// suspectContents returns the contents that are blamed for crashes of upstreams.
func (h *handler) suspectContents() []oas.QuarantineStatus {
	var all []oas.QuarantineStatus
	for _, s := range h.upstreams.SuspectContents() {
		listed := oas.QuarantineStatus{
			Content: fmt.Sprintf("%x", s.Content), Deaths: s.Status.Crashes, Quarantined: s.Status.Quarantined,
		}
		if s.Status.Quarantined {
			listed.Until.SetTo(s.Status.Until)
		}
		all = append(all, listed)
	}
	return all
}

// GetTimeline serves GET /v1/timeline.
func (h *handler) GetTimeline(ctx context.Context, params oas.GetTimelineParams) (*oas.Timeline, error) {
	query := timeline.Query{SinceMS: time.Now().Add(-milliseconds(params.SinceMs.Or(60_000))).UnixMilli()}
	if request, set := params.Request.Get(); set {
		workspace, key, found := strings.Cut(request, "/")
		if !found {
			return nil, badRequest("request", errRequestIDFormat)
		}
		query.Request = contract.RequestID{Workspace: contract.WorkspaceID(workspace), Key: key}
	}
	var others []contract.InstanceID
	if !params.Local.Or(false) {
		others = h.membership.View().Peers()
	}
	collection, err := h.collector.Collect(ctx, others, query)
	if err != nil {
		return nil, err
	}
	response := &oas.Timeline{Events: make([]oas.TimelineEvent, 0, len(collection.Events)), Missing: []string{}}
	for _, id := range collection.Missing {
		response.Missing = append(response.Missing, string(id))
	}
	for _, event := range collection.Events {
		response.Events = append(response.Events, encodeEvent(event))
	}
	return response, nil
}

func encodeEvent(event timeline.Event) oas.TimelineEvent {
	encoded := oas.TimelineEvent{
		WallMs: event.At.WallMS, Logical: int(event.At.Logical), Instance: string(event.Instance), Kind: string(event.Kind),
	}
	if event.Request.Key != "" {
		encoded.Workspace.SetTo(string(event.Request.Workspace))
		encoded.Key.SetTo(event.Request.Key)
	}
	if event.Attempt != 0 {
		encoded.Attempt.SetTo(int(event.Attempt))
	}
	if event.Upstream != "" {
		encoded.Upstream.SetTo(string(event.Upstream))
	}
	if event.Detail != "" {
		encoded.Detail.SetTo(event.Detail)
	}
	return encoded
}

// Drain serves POST /v1/drain.
func (h *handler) Drain(ctx context.Context) (*oas.DrainStatus, error) {
	h.lifecycle.startDrain()
	return h.GetDrain(ctx)
}

// GetDrain serves GET /v1/drain.
func (h *handler) GetDrain(context.Context) (*oas.DrainStatus, error) {
	return &oas.DrainStatus{
		Draining:    h.lifecycle.isDraining(),
		Generations: h.registry.ActiveGenerations(),
		Calls:       int(h.activity.calls.Load()),
	}, nil
}
