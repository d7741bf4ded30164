// Package contract decides which daemon owns which key. All daemons read the
// control stream of the log and derive the same owners from the claims, releases
// and grants in it. An owner acts only under a tenure and fences its commands with
// the epoch of the key. The owner of a request-id shard is granted the ids of ranges
// of mint times; the mint time of an id is the time that its ULID holds.
package contract

import (
	"fmt"
	"strings"

	"github.com/sassafraslb/sassafraslb/zone"
)

// Key names something that at most one daemon owns at a time: a rack, a group of
// executors, or a shard of a region's jobs or request ids.
type Key string

// Epoch is the fencing token of a key: the log offset of the record that last
// changed the owner, plus one, so that zero means "never owned".
type Epoch uint64

// KeyKind is the kind of a key, its part before the first slash.
type KeyKind string

// The key kinds.
const (
	Rack KeyKind = "rack" // the workers of a rack
	Exec KeyKind = "exec" // a group of executors
	Jobs KeyKind = "jobs" // a job shard of a region
	IDs  KeyKind = "ids"  // a request-id shard of a region; its owner is called the recorder
)

// RackKey returns the key of a rack of workers.
func RackKey(z zone.Name, rack string) Key { return Key(fmt.Sprintf("rack/%s/%s", z, rack)) }

// ExecKey returns the key of a group of executors.
func ExecKey(z zone.Name, group string) Key { return Key(fmt.Sprintf("exec/%s/%s", z, group)) }

// JobsKey returns the key of job shard n of region r.
func JobsKey(r zone.Region, n int) Key { return Key(fmt.Sprintf("jobs/%s/%d", r, n)) }

// IDsKey returns the key of request-id shard n of region r.
func IDsKey(r zone.Region, n int) Key { return Key(fmt.Sprintf("ids/%s/%d", r, n)) }

// Kind returns the kind of k.
func (k Key) Kind() KeyKind {
	kind, _, _ := strings.Cut(string(k), "/")
	return KeyKind(kind)
}

// Location returns the second part of k: a zone for racks and executor groups, a
// region for shards. It is empty if k has no second part.
func (k Key) Location() string {
	parts := strings.SplitN(string(k), "/", 3)
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}
