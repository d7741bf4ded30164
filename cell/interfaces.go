package cell

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/sassafraslb/sassafraslb/sched"
)

// Stream names a stream of the platform's log.
type Stream string

// The streams of the cell.
const (
	// StreamTenure holds the claims, heartbeats and resignations of leaders.
	StreamTenure Stream = "tenure"
	// StreamState holds the keyed records of the scheduling engine.
	StreamState Stream = "state"
	// StreamConfig holds the configuration. It is written by operators.
	StreamConfig Stream = "config"
	// StreamMachines holds the host list. It is written by the machines.
	StreamMachines Stream = "machines"
)

// Entry is one entry of a stream. Key is empty in streams without keys; a keyed entry without a value
// deletes the key.
type Entry struct {
	Offset int64
	Key    string
	Value  []byte
}

// Fence is the condition of an append.
type Fence struct {
	// Epoch, if not 0, makes the append fail with kind stale_epoch if the log has seen a higher
	// epoch. Sequence rises by one per append within an epoch, so that the log recognizes a repeated
	// append and does not store it twice. An append with a Sequence out of order fails with kind
	// conflict.
	Epoch, Sequence int64
	// At applies if Epoch is 0: the append fails with kind conflict unless the stream ends at this
	// offset.
	At int64
}

// Page is the result of a read.
type Page struct {
	Entries []Entry
	End     int64 // offset after the last entry of the stream
	More    bool  // after Newest: there are entries of further keys
}

// Log is the platform's append-only log. Errors are of these kinds: log_unavailable (nothing was
// done), append_unknown (the append may be stored, now or later), bad_input (the log does not take
// these entries, now or later), stale_epoch and conflict (see Fence), and not_found (the requested
// entries have expired; End of the page is then the offset of the first entry that is left).
type Log interface {
	Append(ctx context.Context, s Stream, entries []Entry, f Fence) error
	// Read returns entries from an offset on. It waits up to wait if there are none yet.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest entries of the keys after the given one, in the order of keys, as
	// many as fit into one page, and the end of the stream at that moment.
	Newest(ctx context.Context, s Stream, after string) (Page, error)
}

// MachineClient sends orders and polls to worker machines.
type MachineClient interface {
	// Start sends a start order with the end of the machine's lease, in ms on the machine's clock. The
	// outcome applies also if there is an error, which only gives the cause.
	Start(ctx context.Context, o sched.Start, leaseEnd int64) (sched.StartOutcome, error)
	// Stop sends a stop order. nil means that the machine has accepted it.
	Stop(ctx context.Context, o sched.Stop) error
	// Poll reads a machine's lists of running and ended runs, extends its lease to leaseEnd (ms on
	// the machine's clock, 0 leaves it as it is) and acknowledges ends up to number ack. It waits up
	// to wait until a run ends. A lease is extended and ends are acknowledged only if it is certain that the
	// incarnation m.Born reads the poll; another one counts its ends and its time anew. Where starts of incarnations are
	// not known, any answer over the connection counts. Else the poll only reads the lists. An error of kind not_found means that another incarnation answers at
	// the address.
	Poll(ctx context.Context, m sched.Machine, token, leaseEnd, ack int64, wait time.Duration) (sched.PollResult, error)
	// CloseIdleConnections gives back what the machines hold for this daemon, which no longer leads.
	CloseIdleConnections()
}

// Advisor decides which machines may run a step.
type Advisor interface {
	// Advise returns tickets for those of the given machines that are allowed, by machine, and how
	// long the tickets are valid.
	Advise(ctx context.Context, step string, machines []string) (map[string]string, time.Duration, error)
}

// Decoder decodes entries of the streams that operators and machines write.
type Decoder interface {
	Config(value []byte) (*Config, error)
	Machine(id string, value []byte) (sched.Machine, error)
}

// Config is a decoded configuration.
type Config struct {
	Version int64
	Routes  []Route
	Limits  Limits
	// Services are the names of the services that the configuration lists. Only package configcheck uses them.
	Services []string
	// Tenants is nil if the configuration has no list of tenants; callers then need no keys.
	Tenants []Tenant
	// tenantByKey is set by indexKeys.
	tenantByKey map[KeyHash]string
}

// Route assigns requests of callers to a queue, by host name and path prefix.
type Route struct {
	Host       string
	PathPrefix string
	Anonymous  bool // callers need no key, also if the configuration has tenants
	Queue      sched.Queue
}

// Tenant is a tenant with the keys by which its callers are known.
type Tenant struct {
	sched.Tenant
	Keys []KeyHash
}

// KeyHash is the SHA-256 hash of a key. The keys themselves are not kept, so that neither a dump of the
// process nor its logs show them.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Limits bounds the requests of callers, and the connections of all clients but other daemons. 0 stands
// for a default of package platform.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
