package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
)

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request) {
	var request upstream.StreamRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.faults.Current().Leaving {
		writeRefusal(w, enginehttp.StateLeaving, "the engine is leaving")
		return
	}
	e.mu.Lock()
	if !slices.Contains(e.models, request.Pin) {
		e.mu.Unlock()
		writeRefusal(w, enginehttp.StateRefused, "the engine does not serve this model, version and adapter")
		return
	}
	if e.streams[request.Stream] != nil {
		e.mu.Unlock()
		http.Error(w, "the stream exists", http.StatusConflict)
		return
	}
	stream := newEngineStream(request)
	stream.readers++
	e.counters.StreamsStarted++
	e.enqueue(stream)
	e.mu.Unlock()
	e.sendEvents(w, r, stream, int64(len(request.Prefix)))
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if err != nil || offset < 0 {
		http.Error(w, "offset must be a number of tokens", http.StatusBadRequest)
		return
	}
	from := contract.Position{Offset: offset, Digest: contract.PrefixDigest(r.URL.Query().Get("digest"))}
	e.mu.Lock()
	stream := e.streams[upstream.StreamID(r.PathValue("id"))]
	if stream == nil || stream.cancelled {
		e.mu.Unlock()
		http.NotFound(w, r)
		return
	}
	stream.readers++
	e.counters.StreamsResumed++
	e.mu.Unlock()
	if !e.waitForPosition(r, stream, from) {
		e.detachReader(stream)
		http.Error(w, "the stream has another text at this position", http.StatusConflict)
		return
	}
	e.sendEvents(w, r, stream, from.Offset)
}

// waitForPosition waits until the stream has reached a position and reports
// whether the text before it has the position's digest.
func (e *Engine) waitForPosition(r *http.Request, stream *engineStream, from contract.Position) bool {
	for {
		e.mu.Lock()
		equal, decided := stream.matches(from)
		changed := stream.changed
		e.mu.Unlock()
		if decided {
			return equal
		}
		if !e.waitForChange(r, changed) {
			e.detachReader(stream)
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) waitForChange(r *http.Request, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-r.Context().Done():
		return false
	case <-e.closed:
		return false
	}
}

func (e *Engine) detachReader(stream *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stream.readers--
	stream.detachedAt = time.Now()
}

// sendEvents writes the stream's events from an offset until the stream ends. If
// the stream is cancelled or the engine exits, it aborts the response without an
// end event.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, stream *engineStream, offset int64) {
	defer e.detachReader(stream)
	session, err := sse.Upgrade(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	if session.Flush() != nil {
		return
	}
	for {
		e.mu.Lock()
		texts := stream.texts[min(offset, int64(len(stream.texts))):]
		ended, cancelled, changed := stream.ended, stream.cancelled, stream.changed
		e.mu.Unlock()
		if e.sendTokens(session, stream, offset, texts) != nil || cancelled {
			panic(http.ErrAbortHandler)
		}
		offset += int64(len(texts))
		if ended {
			_ = sendEvent(session, enginehttp.EventEnd, enginehttp.Event{
				Stream: stream.request.Stream, Request: stream.request.Request, TokenCount: offset,
			})
			return
		}
		if !e.waitForChange(r, changed) {
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) sendTokens(session *sse.Session, stream *engineStream, offset int64, texts []string) error {
	for i, text := range texts {
		err := sendEvent(session, enginehttp.EventToken, enginehttp.Event{
			Stream: stream.request.Stream, Request: stream.request.Request,
			Offset: offset + int64(i), Text: text,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func sendEvent(session *sse.Session, kind string, event enginehttp.Event) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	message := &sse.Message{Type: sse.Type(kind)}
	message.AppendData(string(data))
	if err := session.Send(message); err != nil {
		return err
	}
	return session.Flush()
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stream := e.streams[upstream.StreamID(r.PathValue("id"))]
	if stream == nil {
		http.NotFound(w, r)
		return
	}
	e.cancel(time.Now(), stream)
	w.WriteHeader(http.StatusNoContent)
}
