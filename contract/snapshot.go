package contract

import (
	"encoding/json"
	"sort"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// keysPerPart bounds the size of one snapshot record to some 100 KB.
const keysPerPart = 500

// Snapshot returns the records that hold the fold of all records below Next. They
// must be appended contiguously.
func (b *ControlState) Snapshot() ([]upstream.Envelope, error) {
	names := make([]Key, 0, len(b.keys))
	for k := range b.keys {
		names = append(names, k)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	id := ulid.Make().String()
	n := max(1, (len(names)+keysPerPart-1)/keysPerPart)
	out := make([]upstream.Envelope, 0, n)
	for i := range n {
		p := snapshotPart{ID: id, Through: uint64(b.next), Part: i, Parts: n, Keys: make(map[Key]KeyState)}
		for _, k := range names[min(len(names), i*keysPerPart):min(len(names), (i+1)*keysPerPart)] {
			p.Keys[k] = b.keys[k]
		}
		if i == 0 {
			p.Daemons, p.Grants = b.daemons, b.grants
		}
		e, err := upstream.NewEnvelope(kindSnapshot, p)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// applySnapshot collects the parts of a snapshot. A snapshot of which a part is
// missing is ignored. A ControlState that is ready needs only its position.
func (b *ControlState) applySnapshot(body []byte) {
	var p snapshotPart
	if json.Unmarshal(body, &p) != nil || p.Parts <= 0 {
		b.parts = nil
		return
	}
	if p.Part == 0 {
		b.parts = nil
	}
	if p.Part != len(b.parts) || (p.Part > 0 && p.ID != b.parts[0].ID) {
		b.parts = nil
		return
	}
	b.parts = append(b.parts, p)
	if len(b.parts) < p.Parts {
		return
	}
	parts := b.parts
	b.parts = nil
	if !b.ready {
		b.load(parts)
	}
	if b.ready && upstream.Offset(p.Through) >= b.snapshotThrough {
		b.snapshotThrough, b.snapshotSeen = upstream.Offset(p.Through), true
	}
}

// load starts from a snapshot and folds the records that were read before it but
// come after its position. It does nothing if some of those were trimmed.
func (b *ControlState) load(parts []snapshotPart) {
	through := upstream.Offset(parts[0].Through)
	if through < b.start {
		return
	}
	b.clear()
	for _, p := range parts {
		for k, s := range p.Keys {
			b.keys[k] = s
		}
		for id, d := range p.Daemons {
			b.daemons[id] = d
		}
		for k, g := range p.Grants {
			b.grants[k] = g
		}
	}
	b.ready = true
	waiting := b.waiting
	b.waiting = nil
	for _, r := range waiting {
		if e, ok := upstream.DecodeEnvelope(r.Data); ok && r.Offset >= through {
			b.fold(uint64(r.Offset)+1, e)
		}
	}
}
