package contract

import (
	"encoding/json"
	"slices"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// KeyState is the state of a key according to the log.
type KeyState struct {
	Owner             string   `json:"o,omitempty"` // daemon id; empty if the key was released to nobody
	Incarnation       uint64   `json:"i,omitempty"` // of the owner
	Epoch             Epoch    `json:"e"`
	Electorate        []string `json:"el,omitempty"` // ids of the daemons that may claim the key, sorted
	ElectorateVersion uint64   `json:"ea,omitempty"` // offset + 1 of the record that set Electorate
	NoTakeoverWait    bool     `json:"nw,omitempty"` // the owner may act without a takeover wait
	PredecessorEpoch  Epoch    `json:"f,omitempty"`  // epoch of the owner that released it to Owner; 0 if claimed
}

// ControlState is the state that results from folding the records of the control
// stream in log order. All readers that fold the same records get the same state. It
// is not safe for concurrent use.
type ControlState struct {
	start   upstream.Offset // offset from which records are read
	next    upstream.Offset
	ready   bool
	keys    map[Key]KeyState
	daemons map[string]Daemon
	grants  map[Key][]GrantedSpan

	// Records read before a usable snapshot was found; used only while not ready.
	beforeSnapshot []upstream.Record
	snapshotParts  []snapshotPart // parts read so far of a snapshot that is not complete yet

	snapshotThrough upstream.Offset // position of the newest complete snapshot
	snapshotSeen    bool
	lastRecordID    string // id of the last record that was decoded
}

// NewControlState returns a ControlState for the records from offset from on. If from
// is zero, it is ready immediately, otherwise only when it has read a usable snapshot.
func NewControlState(from upstream.Offset) *ControlState {
	cs := &ControlState{start: from, next: from, ready: from == 0}
	cs.clear()
	return cs
}

func (cs *ControlState) clear() {
	cs.keys = make(map[Key]KeyState)
	cs.daemons = make(map[string]Daemon)
	cs.grants = make(map[Key][]GrantedSpan)
}

// Next returns the offset of the next record to fold.
func (cs *ControlState) Next() upstream.Offset { return cs.next }

// Ready reports whether cs holds the full state after all records below Next.
func (cs *ControlState) Ready() bool { return cs.ready }

// Key returns the state of k, which is the zero KeyState if k was never owned.
func (cs *ControlState) Key(k Key) KeyState { return cs.keys[k] }

// Daemon returns the daemon with the given id. ok is false if it has never joined.
func (cs *ControlState) Daemon(id string) (Daemon, bool) {
	d, ok := cs.daemons[id]
	return d, ok
}

// Apply folds one record. Records below Next, records that cannot be decoded, and
// records that are not valid at their position have no effect.
func (cs *ControlState) Apply(r upstream.Record) {
	if r.Offset < cs.next {
		return
	}
	cs.next = r.Offset + 1
	e, ok := upstream.DecodeEnvelope(r.Data)
	if !ok {
		cs.snapshotParts = nil
		return
	}
	cs.lastRecordID = e.ID
	if e.Kind == kindSnapshot {
		cs.applySnapshot(e.Body)
		return
	}
	cs.snapshotParts = nil
	if !cs.ready {
		cs.beforeSnapshot = append(cs.beforeSnapshot, r)
		return
	}
	cs.fold(uint64(r.Offset)+1, e)
}

// fold applies one record. at is its offset plus one, the epoch and electorate version
// that it sets.
func (cs *ControlState) fold(at uint64, e upstream.Envelope) {
	switch e.Kind {
	case kindClaim:
		applyDecoded(e.Body, func(c claimRecord) { cs.foldClaim(at, c) })
	case kindRelease:
		applyDecoded(e.Body, func(r releaseRecord) { cs.foldRelease(at, r) })
	case kindElectorate:
		applyDecoded(e.Body, func(r electorateRecord) { cs.foldElectorate(at, r) })
	case kindJoin:
		applyDecoded(e.Body, cs.foldJoin)
	case kindDrain:
		applyDecoded(e.Body, cs.foldDrain)
	case kindLeave:
		applyDecoded(e.Body, cs.foldLeave)
	case kindGrant:
		applyDecoded(e.Body, cs.foldGrant)
	}
}

// applyDecoded calls fn with the decoded body, or not at all if it cannot be decoded.
func applyDecoded[T any](body []byte, fn func(T)) {
	var v T
	if json.Unmarshal(body, &v) == nil {
		fn(v)
	}
}

// foldClaim gives the claimed keys to the daemon as far as its claim is valid. Claims
// of another incarnation and claims from outside the electorate are ignored, so that an
// owner that cannot read the log knows every daemon whose claim could succeed. A key
// without an owner may be claimed from outside the electorate, and so may a key whose
// current electorate the claim names by its version, because all its members are gone.
func (cs *ControlState) foldClaim(at uint64, c claimRecord) {
	d, joined := cs.daemons[c.Daemon]
	if !joined || d.Left || d.Draining || d.Incarnation != c.Incarnation {
		return
	}
	electorate := sortedSet(append(slices.Clone(c.Electorate), c.Daemon))
	for _, k := range c.Keys {
		s := cs.keys[k.Key]
		if s.Epoch != k.PrevEpoch || Epoch(at) == s.Epoch {
			continue
		}
		inside := s.Owner == "" || slices.Contains(s.Electorate, c.Daemon)
		if !inside && (k.ElectorateVersion == 0 || k.ElectorateVersion != s.ElectorateVersion) {
			continue
		}
		cs.keys[k.Key] = KeyState{Owner: c.Daemon, Incarnation: c.Incarnation, Epoch: Epoch(at),
			Electorate: electorate, ElectorateVersion: at, NoTakeoverWait: s.Owner == ""}
	}
}

// foldRelease frees the released keys, or gives them to daemon To if it has joined and
// neither drains nor has left. The new owner needs no takeover wait.
func (cs *ControlState) foldRelease(at uint64, r releaseRecord) {
	to := cs.daemons[r.To]
	for _, k := range r.Keys {
		s, ok := cs.keys[k.Key]
		if !ok || s.Epoch != k.Epoch || s.Owner != r.From {
			continue
		}
		if k.CutMS != 0 {
			cs.endGrant(k.Key, k.Epoch, k.CutMS)
		}
		s.Epoch, s.ElectorateVersion, s.NoTakeoverWait = Epoch(at), at, true
		s.Owner, s.Incarnation, s.PredecessorEpoch = "", 0, 0
		if r.To != "" && to.ID == r.To && !to.Left && !to.Draining {
			s.Owner, s.Incarnation, s.PredecessorEpoch = r.To, to.Incarnation, k.Epoch
			s.Electorate = sortedSet(append(slices.Clone(s.Electorate), r.To))
		} else {
			s.Electorate = nil
		}
		cs.keys[k.Key] = s
	}
}

// foldElectorate sets the electorates, and their versions, of the keys that are still at the
// given epochs. An owner stays in the electorate of its key.
func (cs *ControlState) foldElectorate(at uint64, r electorateRecord) {
	for _, k := range r.Keys {
		s, ok := cs.keys[k.Key]
		if !ok || s.Epoch != k.Epoch || s.Owner == "" {
			continue
		}
		s.Electorate = sortedSet(append(slices.Clone(r.Daemons), s.Owner))
		s.ElectorateVersion = at
		cs.keys[k.Key] = s
	}
}

// foldJoin adds a daemon or replaces its older incarnation. A join of an older
// incarnation than the known one is ignored.
func (cs *ControlState) foldJoin(d Daemon) {
	if old, ok := cs.daemons[d.ID]; ok && old.Incarnation > d.Incarnation {
		return
	}
	d.Left, d.Draining = false, false
	cs.daemons[d.ID] = d
}

// foldDrain marks a daemon as draining, so that no key is handed back to it while it
// finishes its open calls before a planned stop.
func (cs *ControlState) foldDrain(l leaveRecord) {
	if d, ok := cs.daemons[l.Daemon]; ok && d.Incarnation == l.Incarnation {
		d.Draining = true
		cs.daemons[l.Daemon] = d
	}
}

// foldLeave removes a daemon from the electorates of all keys of other owners. It may
// claim such a key again only when the owner has added it to the electorate after its
// next join.
func (cs *ControlState) foldLeave(l leaveRecord) {
	d, ok := cs.daemons[l.Daemon]
	if !ok || d.Incarnation != l.Incarnation {
		return
	}
	d.Left = true
	cs.daemons[l.Daemon] = d
	for k, s := range cs.keys {
		if s.Owner != l.Daemon && slices.Contains(s.Electorate, l.Daemon) {
			s.Electorate = slices.DeleteFunc(slices.Clone(s.Electorate), func(id string) bool { return id == l.Daemon })
			cs.keys[k] = s
		}
	}
}

// Orphaned reports whether the owner of s has left, has never joined, or has joined
// with another incarnation since.
func (cs *ControlState) Orphaned(s KeyState) bool {
	d, ok := cs.daemons[s.Owner]
	return s.Owner != "" && (!ok || d.Left || d.Incarnation != s.Incarnation)
}

// sortedSet sorts ids in place and returns them without duplicates.
func sortedSet(ids []string) []string {
	slices.Sort(ids)
	return slices.Compact(ids)
}
