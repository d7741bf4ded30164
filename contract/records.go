package contract

import (
	"encoding/json"

	"github.com/sassafraslb/sassafraslb/zone"
)

// Kinds of the records in the control stream.
const (
	kindClaim      = "claim"
	kindRelease    = "release"
	kindElectorate = "electorate"
	kindJoin       = "join"
	kindDrain      = "drain" // its body is a leaveRecord; the daemon takes no more keys
	kindLeave      = "leave"
	kindGrant      = "grant"
	kindSnapshot   = "snapshot"
)

// claimKey is one key of a claim. The claim is ignored unless the key is still at
// PrevEpoch. ElectorateVersion is set only by a daemon outside the electorate, to the
// version of the electorate whose members it found to be gone.
type claimKey struct {
	Key               Key    `json:"k"`
	PrevEpoch         Epoch  `json:"p"`
	ElectorateVersion uint64 `json:"ea,omitempty"`
}

// claimRecord claims keys for a daemon and names the electorate that may claim them next.
type claimRecord struct {
	Keys        []claimKey `json:"keys"`
	Daemon      string     `json:"daemon"`
	Incarnation uint64     `json:"inc"`
	Electorate  []string   `json:"el"`
}

// epochKey names a key at an epoch. In a release of an id shard, CutMS ends the
// granted span of the releasing daemon: it ran no id minted at or after CutMS
// (milliseconds of Unix time). Zero leaves the span as it is.
type epochKey struct {
	Key   Key   `json:"k"`
	Epoch Epoch `json:"e"`
	CutMS int64 `json:"cut,omitempty"`
}

// releaseRecord gives up keys of daemon From in favor of daemon To, or of nobody if To is empty.
type releaseRecord struct {
	Keys []epochKey `json:"keys"`
	From string     `json:"from"`
	To   string     `json:"to,omitempty"`
}

// electorateRecord replaces the electorates of keys by Daemons and the owner of each key.
type electorateRecord struct {
	Keys    []epochKey `json:"keys"`
	Daemons []string   `json:"daemons"`
}

// Daemon is a daemon as its join, drain and leave records describe it.
type Daemon struct {
	ID          string      `json:"id"`
	Incarnation uint64      `json:"inc"`
	Address     string      `json:"addr"`
	Zone        zone.Name   `json:"zone"`
	Region      zone.Region `json:"region"`
	Draining    bool        `json:"drain,omitempty"` // it takes no more keys
	Left        bool        `json:"left,omitempty"`  // it has stopped as planned
}

// leaveRecord is the body of drain and leave records.
type leaveRecord struct {
	Daemon      string `json:"daemon"`
	Incarnation uint64 `json:"inc"`
}

// grantRecord allows a recorder to run the ids of a shard that are minted in
// [FromMS, ToMS), in milliseconds of Unix time. If Cut is set, the span of a
// predecessor that is gone ends at FromMS.
type grantRecord struct {
	Shard  Key   `json:"shard"`
	Epoch  Epoch `json:"e"`
	FromMS int64 `json:"from"`
	ToMS   int64 `json:"to"`
	Cut    bool  `json:"cut,omitempty"`
}

// encodeBody encodes the body of an envelope.
func encodeBody(v any) (json.RawMessage, error) { return json.Marshal(v) }

// snapshotPart is one record of a snapshot, which holds the state after all records
// with an offset below Through. The parts of a snapshot are contiguous in the log.
type snapshotPart struct {
	ID      string                `json:"id"`
	Through uint64                `json:"through"`
	Part    int                   `json:"part"`
	Parts   int                   `json:"parts"`
	Keys    map[Key]KeyState      `json:"keys,omitempty"`
	Daemons map[string]Daemon     `json:"daemons,omitempty"`
	Grants  map[Key][]GrantedSpan `json:"grants,omitempty"`
}
