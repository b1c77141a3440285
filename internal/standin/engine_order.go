package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"foxtailhub.example/foxtailhub/internal/upstream"
)

// EngineOrder is a command to load or unload a model or to change the role of an engine.
type EngineOrder struct {
	Kind string            `json:"kind"` // "load_model", "unload_model" or "change_role"
	Pin  upstream.ModelPin `json:"pin,omitzero"`
	Role string            `json:"role,omitempty"`
}

// OrderRequest is the body of POST /v1/orders. Each new issuer of orders has a
// higher fencing number.
type OrderRequest struct {
	Order   EngineOrder `json:"order"`
	Fencing int64       `json:"fencing"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var request OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && request.Fencing < e.fencing {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, request.Fencing)
	if !e.execute(request.Order) {
		http.Error(w, "the order is of an unknown kind", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// execute executes an order and reports whether its kind is known. It must be
// called with e.mu held.
func (e *Engine) execute(order EngineOrder) bool {
	switch order.Kind {
	case "load_model":
		time.AfterFunc(e.config.ModelLoadTime, func() { e.setModel(order.Pin, true) })
	case "unload_model":
		time.AfterFunc(0, func() { e.setModel(order.Pin, false) })
	case "change_role":
		e.role = order.Role
	default:
		return false
	}
	return true
}

func (e *Engine) setModel(pin upstream.ModelPin, served bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = slices.DeleteFunc(e.models, func(other upstream.ModelPin) bool { return other == pin })
	if served {
		e.models = append(e.models, pin)
	}
	e.recordLoad()
}
