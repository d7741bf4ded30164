// Package pause has a sleep that ends early when its context is done.
package pause

import (
	"context"
	"time"
)

// For blocks for d and returns true, or returns false as soon as ctx is done.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
