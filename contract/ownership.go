package contract

import "time"

// Tenure is the right of this daemon to act as the owner of a key until Deadline.
type Tenure struct {
	Epoch    Epoch
	Deadline time.Time // with a monotonic clock reading; no command may be sent after it
}

// OwnerChange reports a change of the owner of a key, or of whether this daemon serves it.
type OwnerChange struct {
	Key   Key
	Epoch Epoch
	Owner string // daemon id; empty if released
	Held  bool   // this daemon is the owner and its takeover wait has passed; it may act while Tenure says so
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
	// Watch calls fn, in order and from one goroutine, first for the keys for which this
	// daemon may act now, then for every owner change, when a takeover wait of this daemon
	// has passed, and when it stops or resumes serving a key to release it. fn must not
	// block. stop ends the watch; fn may still be called for changes queued before.
	Watch(fn func(OwnerChange)) (stop func())
}
