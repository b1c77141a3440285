package emulator

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// tokensPerEvent is the number of output tokens per event.
	tokensPerEvent = 10
	// kvCopyInterval is the time between updates of a run's KV copy.
	kvCopyInterval = 200 * time.Millisecond
)

// serveEngineCall serves the calls that only model servers have. It returns
// false for other requests.
func (s *Server) serveEngineCall(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.URL.Path == "/v1/report":
		s.serveReport(w)
	case r.URL.Path == "/v1/kv-list":
		s.serveKVList(w)
	case r.URL.Path == "/v1/kv-move":
		s.serveKVMove(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		s.mu.Lock()
		delete(s.kvCopies, strings.TrimPrefix(r.URL.Path, "/v1/kv-handle/"))
		s.mu.Unlock()
	case r.URL.Path == "/emulator/copy":
		s.receiveKVCopy(w, r)
	default:
		return false
	}
	return true
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	runs := [][]any{}
	for id, run := range s.runs {
		runs = append(runs, []any{id, 0, run.events, 5})
	}
	state := "ready"
	if s.draining {
		state = "draining"
	}
	report := map[string]any{
		"running": s.prefilling + len(runs), "waiting": s.queued, "runs": runs, "state": state, "born": s.startedAt,
		"kv_used": 0, "kv_total": 88_000,
	}
	s.mu.Unlock()
	writeJSON(w, report)
}

func (s *Server) serveKVList(w http.ResponseWriter) {
	s.mu.Lock()
	cached := [][]any{}
	for part, tokens := range s.cachedPrompts {
		cached = append(cached, []any{"", part, tokens, "m"})
	}
	s.mu.Unlock()
	writeJSON(w, map[string]any{"epoch": s.startedAt, "next": 1, "held": cached})
}

// serveKVMove copies the KV memory of a run to another server while the run
// continues.
func (s *Server) serveKVMove(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID string `json:"id"`
		To string `json:"to"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	run, found := s.runs[request.ID]
	events := 0
	if found {
		events = run.events
	}
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	name := "copy-" + request.ID
	if !s.sendKVCopy(r.Context(), request.To, name, events) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]any{"handle": name, "created": events})
}

func (s *Server) sendKVCopy(ctx context.Context, to, name string, events int) bool {
	url := "http://" + to + "/emulator/copy?name=" + name + "&events=" + strconv.Itoa(events)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *Server) receiveKVCopy(w http.ResponseWriter, r *http.Request) {
	events, err := strconv.Atoi(r.URL.Query().Get("events"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvCopies[r.URL.Query().Get("name")] = events
}

// serveStream runs a request with a prompt. If the request names a KV copy, the
// run starts from it and skips prefill.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	name, fromCopy := "", false
	if from := r.Header.Get("Kv-From"); from != "" {
		name = from[strings.LastIndex(from, "/")+1:]
		s.mu.Lock()
		_, fromCopy = s.kvCopies[name]
		delete(s.kvCopies, name)
		s.mu.Unlock()
		if !fromCopy {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the header is missing
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(output)
	if !fromCopy && !s.prefill(r) {
		return
	}
	run := &runState{events: last}
	s.mu.Lock()
	s.runs[id] = run
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.runs, id)
	}()
	s.logRun(r, id, body)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Stamp", s.config.ID)
	if hasPoisonPart(r) {
		s.crash(w, id, body, last)
		return
	}
	s.writeEvents(w, r, id, body, run, tokens/tokensPerEvent)
}

func hasPoisonPart(r *http.Request) bool {
	for part := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		if strings.HasPrefix(part, PoisonPartPrefix) {
			return true
		}
	}
	return false
}

// crash ends the process before the head of the response, after the head or after the
// next event, depending on the body.
func (s *Server) crash(w http.ResponseWriter, id string, body []byte, last int) {
	stage := sha256.Sum256(body)[0] % 3
	if stage > 0 {
		w.WriteHeader(http.StatusOK)
		if stage > 1 {
			_, _ = io.WriteString(w, EventText(body, last+1)) // an error means that the caller disconnected
		}
		_ = http.NewResponseController(w).Flush() // likewise
	}
	s.logCrash(id)
	s.config.Exit(exitCrashed)
}

// prefill computes the prompt unless it is cached. It returns false if the caller
// disconnected.
func (s *Server) prefill(r *http.Request) bool {
	parts := strings.Split(r.Header.Get("X-Prompt-Prefix"), ",")
	part, size, _ := strings.Cut(parts[len(parts)-1], ":")
	s.mu.Lock()
	_, cached := s.cachedPrompts[part]
	s.prefilling++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.prefilling--
	}()
	if !cached && !sleep(r, s.config.WorkDuration) {
		return false
	}
	n, _ := strconv.Atoi(size)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cachedPrompts[part] = n
	return true
}

// writeEvents writes the events of a run and sends its KV copy to the backup holder.
func (s *Server) writeEvents(w http.ResponseWriter, r *http.Request, id string, body []byte, run *runState, total int) {
	backup := r.Header.Get("X-Kv-Backup")
	lastCopy := time.Time{}
	for number := run.events + 1; number <= total; number++ {
		if !sleep(r, s.config.EventInterval) {
			return
		}
		if kind := s.currentFault().StallOutput; kind != "" && number > eventsBeforeStall {
			writeStallOutput(w, r, kind, body)
			return
		}
		if _, err := io.WriteString(w, EventText(body, number)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		s.mu.Lock()
		run.events = number
		s.mu.Unlock()
		if backup != "" && time.Since(lastCopy) >= kvCopyInterval {
			lastCopy = time.Now()
			go s.sendKVCopy(context.WithoutCancel(r.Context()), backup, id, number)
		}
	}
}
