package contract

import "time"

// Tenure is the right of this daemon to act as the owner of a key until Deadline.
type Tenure struct {
	Epoch    Epoch
	Deadline time.Time // with a monotonic clock reading; no command may be sent after it
}

// OwnerChange reports the owner of a key after a change.
type OwnerChange struct {
	Key   Key
	Epoch Epoch
	Owner string // daemon id; empty if released
	Held  bool   // this daemon is the owner and its takeover wait has passed, so it may act
}

// Ownership gives other packages the owners of keys and the tenures of this daemon.
type Ownership interface {
	// Owner returns the daemon that owns k and the epoch of k according to the part of
	// the log that has been read. ok is false if k has no owner.
	Owner(k Key) (daemon string, e Epoch, ok bool)
	// Tenure returns the tenure of this daemon for k. ok is false if k is owned
	// by another daemon or is still in the takeover wait, or if the tenure has ended.
	Tenure(k Key) (t Tenure, ok bool)
	// Held returns the keys for which this daemon has a tenure.
	Held() []Key
	// Watch calls fn for every owner change, in order, from one goroutine, starting
	// with the keys for which this daemon may act now. fn must not block. The returned
	// function ends the watch.
	Watch(fn func(OwnerChange)) (stop func())
}
