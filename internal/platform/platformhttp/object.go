package platformhttp

import (
	"context"
	"net/http"
	"net/url"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// objectStore implements platform.ObjectStore.
type objectStore struct {
	client *client
}

// NewObjectStore returns a client of the object store.
func NewObjectStore(cfg Config) platform.ObjectStore { return &objectStore{client: newClient(cfg)} }

// Get returns the data of an object.
func (o *objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	return o.client.read(ctx, PathObjects+url.PathEscape(name))
}

// Put sets the data of an object.
func (o *objectStore) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.client.write(ctx, http.MethodPut, PathObjects+url.PathEscape(name), data)
	return err
}
