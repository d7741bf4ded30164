package contract

import "time"

// Tenure is the right of this daemon to act as the owner of a key.
type Tenure struct {
	Epoch    Epoch
	Deadline time.Time // monotonic; no command may be sent after it
}

// OwnerChange tells that the owner of a key changed.
type OwnerChange struct {
	Key   Key
	Epoch Epoch
	Owner string // daemon id; empty if released
	Held  bool   // this daemon is the owner and may act (takeover wait has passed)
}

// Ownership is what the other packages need to know about keys.
type Ownership interface {
	// Owner returns the daemon that owns k and its epoch, as far as the log was read.
	Owner(k Key) (daemon string, e Epoch, ok bool)
	// Tenure returns the tenure of this daemon for k. ok is false if k is owned
	// by another daemon, is still in the takeover wait, or tenure has passed.
	Tenure(k Key) (t Tenure, ok bool)
	// Held returns the keys that this daemon owns and may act for.
	Held() []Key
	// Watch calls fn for every change, in order, from one goroutine, starting with
	// the keys held now. fn must not block. The returned function ends the watch.
	Watch(fn func(OwnerChange)) (stop func())
}
