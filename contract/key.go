// Package contract decides which daemon owns what: claims folded from the log,
// epochs used as fencing tokens, tenure, and the grants of request-id ranges.
package contract

import (
	"fmt"
	"strings"

	"github.com/sassafraslb/sassafraslb/zone"
)

// Key names something that one daemon owns at a time.
type Key string

// Epoch is the fencing token of a key: the log offset of the claim that gave it,
// plus one, so that zero means "never owned".
type Epoch uint64

// KeyKind is the first part of a key.
type KeyKind string

// The key kinds.
const (
	Rack KeyKind = "rack"
	Exec KeyKind = "exec"
	Jobs KeyKind = "jobs"
	IDs  KeyKind = "ids"
)

// RackKey returns the key of a rack of workers.
func RackKey(z zone.Name, rack string) Key { return Key(fmt.Sprintf("rack/%s/%s", z, rack)) }

// ExecKey returns the key of a group of executors.
func ExecKey(z zone.Name, group string) Key { return Key(fmt.Sprintf("exec/%s/%s", z, group)) }

// JobsKey returns the key of a job shard of a region.
func JobsKey(r zone.Region, n int) Key { return Key(fmt.Sprintf("jobs/%s/%d", r, n)) }

// IDsKey returns the key of a request-id shard of a region.
func IDsKey(r zone.Region, n int) Key { return Key(fmt.Sprintf("ids/%s/%d", r, n)) }

// Kind returns the kind of k.
func (k Key) Kind() KeyKind {
	kind, _, _ := strings.Cut(string(k), "/")
	return KeyKind(kind)
}

// Location returns the second part of k: a zone for racks and executor groups, a
// region for shards.
func (k Key) Location() string {
	parts := strings.SplitN(string(k), "/", 3)
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}
