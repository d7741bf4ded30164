package contract

import "github.com/sassafraslb/sassafraslb/zone"

// Kinds of the records in stream control.
const (
	kindClaim      = "claim"
	kindRelease    = "release"
	kindElectorate = "electorate"
	kindJoin       = "join"
	kindDrain      = "drain" // body leaveRecord: the daemon takes no more keys
	kindLeave      = "leave"
	kindGrant      = "grant"
	kindSnapshot   = "snapshot"
)

// claimKey is one key of a claim. ElectorateVersion is set by a daemon outside the
// electorate and names the electorate whose members it found to be gone.
type claimKey struct {
	Key               Key    `json:"k"`
	PrevEpoch         Epoch  `json:"p"`
	ElectorateVersion uint64 `json:"ea,omitempty"`
}

type claimRecord struct {
	Keys        []claimKey `json:"keys"`
	Daemon      string     `json:"daemon"`
	Incarnation uint64     `json:"inc"`
	Electorate  []string   `json:"el"`
}

// epochKey names a key at an epoch. CutMS, in a release of an id shard, ends the
// releaser's granted range: it ran no id minted at or after CutMS.
type epochKey struct {
	Key   Key   `json:"k"`
	Epoch Epoch `json:"e"`
	CutMS int64 `json:"cut,omitempty"`
}

type releaseRecord struct {
	Keys []epochKey `json:"keys"`
	From string     `json:"from"`
	To   string     `json:"to,omitempty"`
}

type electorateRecord struct {
	Keys    []epochKey `json:"keys"`
	Daemons []string   `json:"daemons"`
}

// Daemon is a daemon that has joined.
type Daemon struct {
	ID          string      `json:"id"`
	Incarnation uint64      `json:"inc"`
	Address     string      `json:"addr"`
	Zone        zone.Name   `json:"zone"`
	Region      zone.Region `json:"region"`
	Draining    bool        `json:"drain,omitempty"` // takes no more keys
	Left        bool        `json:"left,omitempty"`
}

type leaveRecord struct {
	Daemon      string `json:"daemon"`
	Incarnation uint64 `json:"inc"`
}

// grantRecord gives a recorder the ids of a shard minted in [FromMS, ToMS). Cut
// ends the range of a predecessor that is gone at FromMS.
type grantRecord struct {
	Shard  Key   `json:"shard"`
	Epoch  Epoch `json:"e"`
	FromMS int64 `json:"from"`
	ToMS   int64 `json:"to"`
	Cut    bool  `json:"cut,omitempty"`
}

// snapshotPart is one record of a snapshot, which holds the fold of all records
// below Through. The parts of a snapshot are contiguous.
type snapshotPart struct {
	ID      string                `json:"id"`
	Through uint64                `json:"through"`
	Part    int                   `json:"part"`
	Parts   int                   `json:"parts"`
	Keys    map[Key]KeyState      `json:"keys,omitempty"`
	Daemons map[string]Daemon     `json:"daemons,omitempty"`
	Grants  map[Key][]GrantedSpan `json:"grants,omitempty"`
}
