package cell

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/sched"
)

// Stream is a stream of the log.
type Stream string

// The streams of the cell.
const (
	// StreamTenure carries the claims and heartbeats of leaders.
	StreamTenure Stream = "tenure"
	// StreamState carries the keyed records of the engine.
	StreamState Stream = "state"
	// StreamConfig carries the configuration. It is written by operators.
	StreamConfig Stream = "config"
	// StreamMachines carries the host list. It is written by the machines.
	StreamMachines Stream = "machines"
)

// Entry is a record of a stream. Key is empty in streams without keys; a keyed
// entry without a value drops the key.
type Entry struct {
	Offset int64
	Key    string
	Value  []byte
}

// Fence is the condition of an append.
type Fence struct {
	// Epoch, if not 0, makes the append fail with kind stale_epoch if a higher epoch
	// was seen. Sequence rises by one per append within an epoch; a repeat is
	// recognized and not stored twice.
	Epoch, Sequence int64
	// At applies if Epoch is 0: the stream must end at this offset, otherwise the
	// append fails with kind conflict.
	At int64
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry
	End     int64 // offset after the last entry of the stream
	More    bool  // Newest has entries of further keys
}

// Log is the platform's log. Errors are of these kinds: log_unavailable (nothing
// was done), append_unknown (an append may be done, now or later), stale_epoch
// and conflict (see Fence), not_found (the entries asked for have expired).
type Log interface {
	Append(ctx context.Context, s Stream, entries []Entry, f Fence) error
	// Read returns entries from an offset on. It waits up to wait for the first.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest entries of the keys after the given one, in the order
	// of keys, as many as one call gives, and the end of the stream at that moment.
	Newest(ctx context.Context, s Stream, after string) (Page, error)
}

// MachineClient gives orders to machines.
type MachineClient interface {
	Start(ctx context.Context, o sched.Start, leaseEnd int64) (sched.StartOutcome, error)
	Stop(ctx context.Context, o sched.Stop) error
	// Poll returns the lists of a machine, extends its lease to leaseEnd (ms on the
	// machine's clock, 0 leaves it) and acknowledges its ends up to ack. It waits up
	// to wait for an end. An error of kind not_found means that another incarnation
	// answers at the address.
	Poll(ctx context.Context, m sched.Machine, token, leaseEnd, ack int64, wait time.Duration) (sched.PollResult, error)
}

// Advisor says which machines may run a step.
type Advisor interface {
	// Advise returns the tickets of the allowed machines and their life.
	Advise(ctx context.Context, step string, machines []string) (map[string]string, time.Duration, error)
}

// Decoder turns entries of the platform's own streams into types of the cell.
type Decoder interface {
	Config(value []byte) (*Config, error)
	Machine(id string, value []byte) (sched.Machine, error)
}

// Config is a configuration as operators publish it.
type Config struct {
	Version int64
	Routes  []Route
	Limits  Limits
}

// Route leads callers to a queue.
type Route struct {
	Host       string
	PathPrefix string
	Queue      sched.Queue
}

// Limits bound the requests of callers.
type Limits struct {
	MaxBodyBytes   int64 // bytes
	MaxHeaderBytes int   // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
