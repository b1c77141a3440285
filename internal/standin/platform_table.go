package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// maxListedRows is the largest number of rows in one response.
const maxListedRows = 1000

// table is a transactional table in memory.
type table struct {
	mu       sync.Mutex // guards all fields
	rows     map[string]platform.Row
	keys     []string // sorted
	revision int64
}

func newTable() *table { return &table{rows: map[string]platform.Row{}} }

func (t *table) size() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(len(t.rows))
}

func (t *table) read(key string) (platform.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return row, ok
}

func (t *table) list(prefix, after string, limit int) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []platform.Row{}
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for _, key := range t.keys[start:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, t.rows[key])
		}
	}
	return rows
}

func (t *table) commit(transactions []platform.Transaction) []platform.CommitResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	results := make([]platform.CommitResult, 0, len(transactions))
	for _, transaction := range transactions {
		results = append(results, t.apply(transaction))
	}
	return results
}

func (t *table) apply(transaction platform.Transaction) platform.CommitResult {
	for _, c := range transaction.Conditions {
		if t.rows[c.Key].Revision != c.Revision {
			return platform.CommitResult{}
		}
	}
	t.revision++
	for _, w := range transaction.Writes {
		t.set(w)
	}
	return platform.CommitResult{Applied: true, Revision: t.revision}
}

func (t *table) set(w platform.Write) {
	i, found := slices.BinarySearch(t.keys, w.Key)
	if w.Value == nil {
		delete(t.rows, w.Key)
		if found {
			t.keys = slices.Delete(t.keys, i, i+1)
		}
		return
	}
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: t.revision}
	if !found {
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
}

func (t *table) serveRow(r *http.Request, _ []byte) response {
	row, ok := t.read(r.URL.Query().Get("key"))
	if !ok {
		return response{status: http.StatusNotFound}
	}
	return jsonResponse(row)
}

func (t *table) serveRows(r *http.Request, _ []byte) response {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		return response{status: http.StatusBadRequest}
	}
	return jsonResponse(t.list(query.Get("prefix"), query.Get("after"), min(limit, maxListedRows)))
}

// objects is an object store in memory.
type objects struct {
	mu   sync.Mutex // guards data
	data map[string][]byte
}

func (o *objects) serveGet(r *http.Request, _ []byte) response {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[r.PathValue("name")]
	if !ok {
		return response{status: http.StatusNotFound}
	}
	return response{status: http.StatusOK, body: data}
}

func (o *objects) servePut(r *http.Request, body []byte) response {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[r.PathValue("name")] = body
	return response{status: http.StatusNoContent}
}
