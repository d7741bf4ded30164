// Package upstream holds the interfaces to the platform's log service and host list, their
// HTTP clients, and a batching writer that resolves appends whose answer was lost.
package upstream

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Offset is the position of a record in a stream of the log.
type Offset uint64

// The streams of the log.
const (
	StreamControl = "control" // claims and releases of keys, joins of daemons, id grants
	StreamConfig  = "config"  // configuration changes, from the sheet
	StreamJobs    = "jobs"    // accepted jobs and how they ended
)

// Record is one entry of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read. Records is empty if there was none before the wait
// ended.
type Batch struct {
	Records []Record `json:"records"`
	Next    Offset   `json:"next"`   // offset to read from next
	Head    Offset   `json:"head"`   // offset after the last record of the stream
	Oldest  Offset   `json:"oldest"` // first offset of the stream that is still kept
}

// Log is the platform's append-only log service.
//
// Append is atomic for all records of a call. An error of kind
// errkind.AppendUnknown means that the records may or may not be in the log;
// every other error means that they are not.
//
// Read returns up to limit records from offset from on, and waits up to wait for a first
// record. If from is below the retention limit, the error matches ErrTrimmed.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (first Offset, err error)
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// The host states.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving" // still there, but must get no new work
	Gone    HostState = "gone"
)

// HostKind names what runs on a host.
type HostKind string

// The host kinds.
const (
	DaemonHost   HostKind = "daemon"
	WorkerHost   HostKind = "worker"
	ExecutorHost HostKind = "executor"
)

// Host is an entry of the platform's list.
type Host struct {
	ID      string    `json:"id"`
	Kind    HostKind  `json:"kind"`
	Address string    `json:"address"` // IP:port
	Zone    zone.Name `json:"zone"`
	Rack    string    `json:"rack,omitempty"`  // workers only
	Group   string    `json:"group,omitempty"` // executors only: the group within the zone
	State   HostState `json:"state"`
	Slots   int       `json:"slots,omitempty"` // executors only: calls that run at the same time
	// Resources is the capacity of a worker; other kinds have none.
	machine.Resources
}

// HostList is the platform's list of hosts. Changes appear in it with a delay. The caller
// must not change the result.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// AgeReader is implemented by a Log that may read through a relay. The age is how long
// before the answer the relay's own read of the log had started; 0 for a direct read.
type AgeReader interface {
	ReadWithAge(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, time.Duration, error)
}
