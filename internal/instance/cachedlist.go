package instance

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// cachedList caches the platform's instance list and merges concurrent reads: the
// platform allows about two thousand reads per second for all instances together.
type cachedList struct {
	platform.InstanceList
	maxAge time.Duration
	reads  singleflight.Group
	cached atomic.Pointer[listRead]
}

type listRead struct {
	list   platform.List
	readAt time.Time
}

// List returns the list, cached for up to maxAge.
func (c *cachedList) List(ctx context.Context) (platform.List, error) {
	if last := c.cached.Load(); last != nil && time.Since(last.readAt) < c.maxAge {
		return last.list, nil
	}
	value, err, _ := c.reads.Do("", func() (any, error) {
		at := time.Now()
		list, err := c.InstanceList.List(ctx)
		if err == nil {
			c.cached.Store(&listRead{list: list, readAt: at})
		}
		return list, err
	})
	if err != nil {
		return platform.List{}, err
	}
	return value.(platform.List), nil
}
