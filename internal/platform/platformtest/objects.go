package platformtest

import (
	"context"
	"sync"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// Objects is an in-memory platform.ObjectStore.
type Objects struct {
	mu          sync.Mutex // guards the fields below
	data        map[string][]byte
	unavailable bool
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{data: map[string][]byte{}} }

// SetUnavailable sets whether each request fails with ErrUnavailable.
func (o *Objects) SetUnavailable(unavailable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unavailable = unavailable
}

// Get returns a copy of an object's data.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable {
		return nil, platform.ErrUnavailable
	}
	data, ok := o.data[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return append([]byte{}, data...), nil
}

// Put creates or overwrites an object.
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable {
		return platform.ErrUnavailable
	}
	o.data[name] = append([]byte{}, data...)
	return nil
}
