package platformhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// instanceList implements platform.InstanceList.
type instanceList struct {
	client *client
}

// NewInstanceList returns a client of the instance list.
func NewInstanceList(cfg Config) platform.InstanceList { return &instanceList{client: newClient(cfg)} }

// List returns the instances and upstreams.
func (l *instanceList) List(ctx context.Context) (platform.List, error) {
	var list platform.List
	err := l.client.readJSON(ctx, PathList, &list)
	return list, err
}

// Register sets the entry of an instance.
func (l *instanceList) Register(ctx context.Context, entry platform.ListEntry) error {
	data, err := json.Marshal(entry)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode list entry"), platform.ErrUnavailable)
	}
	_, err = l.client.write(ctx, http.MethodPut, PathInstances+url.PathEscape(entry.ID), data)
	return err
}

// Deregister removes the entry of an instance.
func (l *instanceList) Deregister(ctx context.Context, id string) error {
	_, err := l.client.write(ctx, http.MethodDelete, PathInstances+url.PathEscape(id), nil)
	return err
}
