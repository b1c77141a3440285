package platformtest

import (
	"context"
	"sync"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// ObjectStore is an in-memory platform.ObjectStore.
type ObjectStore struct {
	mu          sync.Mutex // guards the fields below
	data        map[string][]byte
	unavailable bool
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore { return &ObjectStore{data: map[string][]byte{}} }

// SetUnavailable sets whether each request fails with ErrUnavailable.
func (o *ObjectStore) SetUnavailable(unavailable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unavailable = unavailable
}

// Get returns a copy of an object's data.
func (o *ObjectStore) Get(_ context.Context, name string) ([]byte, error) {
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
func (o *ObjectStore) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable {
		return platform.ErrUnavailable
	}
	o.data[name] = append([]byte{}, data...)
	return nil
}
