package contract

import (
	"encoding/json"
	"sort"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// maxKeysPerSnapshotPart bounds the keys in one snapshot record to about 100 KB. The
// first record also holds all daemons and grants.
const maxKeysPerSnapshotPart = 500

// Snapshot returns the records of a snapshot of cs, which holds the state after all
// records below Next. They must be appended contiguously.
func (cs *ControlState) Snapshot() ([]upstream.Envelope, error) {
	keys := make([]Key, 0, len(cs.keys))
	for k := range cs.keys {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	id := ulid.Make().String()
	n := max(1, (len(keys)+maxKeysPerSnapshotPart-1)/maxKeysPerSnapshotPart)
	out := make([]upstream.Envelope, 0, n)
	for i := range n {
		p := snapshotPart{ID: id, Through: uint64(cs.next), Part: i, Parts: n, Keys: make(map[Key]KeyState)}
		for _, k := range keys[min(len(keys), i*maxKeysPerSnapshotPart):min(len(keys), (i+1)*maxKeysPerSnapshotPart)] {
			p.Keys[k] = cs.keys[k]
		}
		if i == 0 {
			p.Daemons, p.Grants = cs.daemons, cs.grants
		}
		e, err := upstream.NewEnvelope(kindSnapshot, p)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// applySnapshot collects the parts of a snapshot and loads it when it is complete. A
// snapshot with a missing part is ignored. If cs is ready, only the position of the
// snapshot is used.
func (cs *ControlState) applySnapshot(body []byte) {
	var p snapshotPart
	if json.Unmarshal(body, &p) != nil || p.Parts <= 0 {
		cs.snapshotParts = nil
		return
	}
	if p.Part == 0 {
		cs.snapshotParts = nil
	}
	if p.Part != len(cs.snapshotParts) || (p.Part > 0 && p.ID != cs.snapshotParts[0].ID) {
		cs.snapshotParts = nil
		return
	}
	cs.snapshotParts = append(cs.snapshotParts, p)
	if len(cs.snapshotParts) < p.Parts {
		return
	}
	parts := cs.snapshotParts
	cs.snapshotParts = nil
	if !cs.ready {
		cs.load(parts)
	}
	if cs.ready && upstream.Offset(p.Through) >= cs.snapshotThrough {
		cs.snapshotThrough, cs.snapshotSeen = upstream.Offset(p.Through), true
	}
}

// load replaces the state by a snapshot and then folds the records that were read
// before the snapshot but are not covered by it. It does nothing if cs did not
// read all of those, because the position of the snapshot is before cs.start.
func (cs *ControlState) load(parts []snapshotPart) {
	through := upstream.Offset(parts[0].Through)
	if through < cs.start {
		return
	}
	cs.clear()
	for _, p := range parts {
		for k, s := range p.Keys {
			cs.keys[k] = s
		}
		for id, d := range p.Daemons {
			cs.daemons[id] = d
		}
		for k, g := range p.Grants {
			cs.grants[k] = g
		}
	}
	cs.ready = true
	waiting := cs.beforeSnapshot
	cs.beforeSnapshot = nil
	for _, r := range waiting {
		if e, ok := upstream.DecodeEnvelope(r.Data); ok && r.Offset >= through {
			cs.fold(uint64(r.Offset)+1, e)
		}
	}
}
