package contract

import (
	"encoding/json"
	"slices"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// KeyState is what the log says about a key.
type KeyState struct {
	Owner             string   `json:"o,omitempty"` // empty if released and free
	Incarnation       uint64   `json:"i,omitempty"` // of the owner
	Epoch             Epoch    `json:"e"`
	Electorate        []string `json:"el,omitempty"` // sorted; who may claim the key
	ElectorateVersion uint64   `json:"ea,omitempty"` // offset of the record that set Electorate, plus one
	NoTakeoverWait    bool     `json:"nw,omitempty"` // the owner needs no takeover wait
	PredecessorEpoch  Epoch    `json:"f,omitempty"`  // epoch of the owner that released the key to this one
}

// ControlState folds the records of stream control. Every reader folds the same records
// in the same order to the same ControlState. It is not safe for concurrent use.
type ControlState struct {
	start   upstream.Offset // first offset that was read
	next    upstream.Offset
	ready   bool
	keys    map[Key]KeyState
	daemons map[string]Daemon
	grants  map[Key][]GrantedSpan

	// Records seen before a usable snapshot; only while not ready.
	waiting []upstream.Record
	parts   []snapshotPart // of the snapshot that is being read

	snapshotThrough upstream.Offset // of the newest complete snapshot
	snapshotSeen    bool
	lastID          string // id of the record that was folded last
}

// NewControlState returns a ControlState for the records from offset from on. From zero it is
// ready at once, else only when it has found a snapshot.
func NewControlState(from upstream.Offset) *ControlState {
	b := &ControlState{start: from, next: from, ready: from == 0}
	b.clear()
	return b
}

func (b *ControlState) clear() {
	b.keys = make(map[Key]KeyState)
	b.daemons = make(map[string]Daemon)
	b.grants = make(map[Key][]GrantedSpan)
}

// Next returns the offset of the next record to fold.
func (b *ControlState) Next() upstream.Offset { return b.next }

// Ready reports whether the ControlState holds the full state below Next.
func (b *ControlState) Ready() bool { return b.ready }

// Key returns the state of k; the zero state if it was never owned.
func (b *ControlState) Key(k Key) KeyState { return b.keys[k] }

// Daemon returns the daemon id, if it ever joined.
func (b *ControlState) Daemon(id string) (Daemon, bool) {
	d, ok := b.daemons[id]
	return d, ok
}

// Apply folds one record. Records that cannot be decoded or are not valid at
// their position have no effect.
func (b *ControlState) Apply(r upstream.Record) {
	if r.Offset < b.next {
		return
	}
	b.next = r.Offset + 1
	e, ok := upstream.DecodeEnvelope(r.Data)
	if !ok {
		b.parts = nil
		return
	}
	b.lastID = e.ID
	if e.Kind == kindSnapshot {
		b.applySnapshot(e.Body)
		return
	}
	b.parts = nil
	if !b.ready {
		b.waiting = append(b.waiting, r)
		return
	}
	b.fold(uint64(r.Offset)+1, e)
}

func (b *ControlState) fold(at uint64, e upstream.Envelope) {
	switch e.Kind {
	case kindClaim:
		decodeInto(e.Body, func(c claimRecord) { b.foldClaim(at, c) })
	case kindRelease:
		decodeInto(e.Body, func(r releaseRecord) { b.foldRelease(at, r) })
	case kindElectorate:
		decodeInto(e.Body, func(r electorateRecord) { b.foldElectorate(at, r) })
	case kindJoin:
		decodeInto(e.Body, b.foldJoin)
	case kindDrain:
		decodeInto(e.Body, b.foldDrain)
	case kindLeave:
		decodeInto(e.Body, b.foldLeave)
	case kindGrant:
		decodeInto(e.Body, b.foldGrant)
	}
}

func decodeInto[T any](body []byte, fn func(T)) {
	var v T
	if json.Unmarshal(body, &v) == nil {
		fn(v)
	}
}

// foldClaim applies the keys that win. A claim of an older incarnation or from
// outside the electorate is void, so that an owner that cannot read the log
// knows everyone whose claim could win.
func (b *ControlState) foldClaim(at uint64, c claimRecord) {
	d, joined := b.daemons[c.Daemon]
	if !joined || d.Left || d.Draining || d.Incarnation != c.Incarnation {
		return
	}
	electorate := sortedSet(append(slices.Clone(c.Electorate), c.Daemon))
	for _, k := range c.Keys {
		s := b.keys[k.Key]
		if s.Epoch != k.PrevEpoch || Epoch(at) == s.Epoch {
			continue
		}
		inside := s.Owner == "" || slices.Contains(s.Electorate, c.Daemon)
		if !inside && (k.ElectorateVersion == 0 || k.ElectorateVersion != s.ElectorateVersion) {
			continue
		}
		b.keys[k.Key] = KeyState{Owner: c.Daemon, Incarnation: c.Incarnation, Epoch: Epoch(at),
			Electorate: electorate, ElectorateVersion: at, NoTakeoverWait: s.Owner == ""}
	}
}

func (b *ControlState) foldRelease(at uint64, r releaseRecord) {
	to := b.daemons[r.To]
	for _, k := range r.Keys {
		s, ok := b.keys[k.Key]
		if !ok || s.Epoch != k.Epoch || s.Owner != r.From {
			continue
		}
		if k.CutMS != 0 {
			b.cutGrant(k.Key, k.Epoch, k.CutMS)
		}
		s.Epoch, s.ElectorateVersion, s.NoTakeoverWait = Epoch(at), at, true
		s.Owner, s.Incarnation, s.PredecessorEpoch = "", 0, 0
		if r.To != "" && to.ID == r.To && !to.Left && !to.Draining {
			s.Owner, s.Incarnation, s.PredecessorEpoch = r.To, to.Incarnation, k.Epoch
			s.Electorate = sortedSet(append(slices.Clone(s.Electorate), r.To))
		} else {
			s.Electorate = nil
		}
		b.keys[k.Key] = s
	}
}

func (b *ControlState) foldElectorate(at uint64, r electorateRecord) {
	for _, k := range r.Keys {
		s, ok := b.keys[k.Key]
		if !ok || s.Epoch != k.Epoch || s.Owner == "" {
			continue
		}
		s.Electorate = sortedSet(append(slices.Clone(r.Daemons), s.Owner))
		s.ElectorateVersion = at
		b.keys[k.Key] = s
	}
}

func (b *ControlState) foldJoin(d Daemon) {
	if old, ok := b.daemons[d.ID]; ok && old.Incarnation > d.Incarnation {
		return
	}
	d.Left, d.Draining = false, false
	b.daemons[d.ID] = d
}

// foldDrain marks a daemon that stops as planned, so that no key is handed back to
// it while it finishes its open calls.
func (b *ControlState) foldDrain(l leaveRecord) {
	if d, ok := b.daemons[l.Daemon]; ok && d.Incarnation == l.Incarnation {
		d.Draining = true
		b.daemons[l.Daemon] = d
	}
}

// foldLeave removes the daemon from the electorates: it may claim again only
// when an owner has named it after its next join.
func (b *ControlState) foldLeave(l leaveRecord) {
	d, ok := b.daemons[l.Daemon]
	if !ok || d.Incarnation != l.Incarnation {
		return
	}
	d.Left = true
	b.daemons[l.Daemon] = d
	for k, s := range b.keys {
		if s.Owner != l.Daemon && slices.Contains(s.Electorate, l.Daemon) {
			s.Electorate = slices.DeleteFunc(slices.Clone(s.Electorate), func(id string) bool { return id == l.Daemon })
			b.keys[k] = s
		}
	}
}

// Orphaned reports whether the owner of s has left or runs in a newer incarnation.
func (b *ControlState) Orphaned(s KeyState) bool {
	d, ok := b.daemons[s.Owner]
	return s.Owner != "" && (!ok || d.Left || d.Incarnation != s.Incarnation)
}

func sortedSet(ids []string) []string {
	slices.Sort(ids)
	return slices.Compact(ids)
}
