package config

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// maxKeysPerEntry bounds the keys kept per history entry. A change of more keys
// counts as touching every key.
const maxKeysPerEntry = 64

// Entry is one accepted change in the history.
type Entry struct {
	Version     Version   `json:"version"`
	Base        Version   `json:"base"`
	ID          string    `json:"id"`
	By          string    `json:"by"`
	PublishedAt time.Time `json:"at"` // clock of the publisher
	Day         string    `json:"day"`
	Summary     string    `json:"summary,omitempty"`
	Sheet       bool      `json:"sheet,omitempty"`
	Ops         int       `json:"ops"`
	Keys        []Ref     `json:"keys,omitempty"` // empty if there were too many
}

// Image is everything that a store folds from the stream: what snapshots hold
// and what peers hand over. It is immutable once published.
type Image struct {
	State   *State          `json:"state"`
	History []Entry         `json:"history"` // oldest first, bounded
	Floor   Version         `json:"floor"`   // every accepted change above it is in History
	Next    upstream.Offset `json:"next"`    // every record below it is folded
}

func emptyImage() Image { return Image{State: emptyState()} }

// verdict tells what the fold made of a record.
type verdict struct {
	accepted bool
	ignored  error // not a change that this stream defines
	rec      changeRecord
}

// fold returns the image after the record, and what became of the record. The
// result depends on nothing but im and r, so that every daemon gets the same. An
// image is folded at most once, because both histories share memory.
// The only error is errNewerFormat; im is unchanged then.
func (im Image) fold(r upstream.Record, historyLimit int) (Image, verdict, error) {
	next := im
	next.Next = r.Offset + 1
	if len(r.Data) > 0 && r.Data[0] == tagSnapshot {
		return next, verdict{}, nil
	}
	rec, err := decodeChange(r.Data)
	if errors.Is(err, errNewerFormat) {
		return im, verdict{}, err
	}
	if err != nil {
		return next, verdict{ignored: err}, nil
	}
	if rec.Base != im.State.Version || im.dayPassed(rec) {
		return next, verdict{rec: rec}, nil
	}
	v := VersionAt(r.Offset)
	next.State = im.State.applyRecord(rec, v)
	for _, p := range rec.Parts {
		next.History = append(next.History, entryOf(p, rec.Base, v))
	}
	for len(next.History) > historyLimit {
		next.Floor = next.History[0].Version
		next.History = next.History[1:]
	}
	return next, verdict{accepted: true, rec: rec}, nil
}

// dayPassed reports a change for a day before one that is already in force.
func (im Image) dayPassed(rec changeRecord) bool {
	today := max(im.State.Today, rec.Today)
	return slices.ContainsFunc(rec.Parts, func(p change) bool { return p.Day < today })
}

func (st *State) applyRecord(rec changeRecord, v Version) *State {
	out := st.cloneFor(rec)
	out.promote(max(rec.Today, out.Today))
	out.Version = v
	for _, p := range rec.Parts {
		if p.Day <= out.Today {
			c := out.content()
			applyOps(c, p.Ops, p.Day, v, func(key string, old Intention) { out.retire(key, old, p.Day) })
			continue
		}
		plan := out.ContentAsOf(p.Day).clone()
		applyOps(plan, p.Ops, p.Day, v, nil)
		out.Plans[p.Day] = plan
	}
	return out
}

// cloneFor copies the maps that rec changes. Copying all of them would make a
// small change cost as much as the largest map.
func (st *State) cloneFor(rec changeRecord) *State {
	out := *st
	out.Plans, out.Retired = cloneMap(st.Plans), cloneMap(st.Retired)
	copied := make(map[EntryKind]bool)
	for _, p := range rec.Parts {
		for _, o := range p.Ops {
			ref, _ := o.Ref()
			if copied[ref.Kind] {
				continue
			}
			copied[ref.Kind] = true
			switch ref.Kind {
			case CustomerEntry:
				out.Customers = cloneMap(st.Customers)
			case TeamEntry:
				out.Teams = cloneMap(st.Teams)
			case IntentionEntry:
				out.Intentions = cloneMap(st.Intentions)
			case DrainEntry:
				out.Drains = cloneMap(st.Drains)
			}
		}
	}
	return &out
}

func entryOf(p change, base, v Version) Entry {
	e := Entry{Version: v, Base: base, ID: p.ID, By: p.By, PublishedAt: p.PublishedAt, Day: p.Day, Summary: p.Summary, Sheet: p.Sheet, Ops: len(p.Ops)}
	if len(p.Ops) <= maxKeysPerEntry {
		for _, o := range p.Ops {
			if ref, ok := o.Ref(); ok {
				e.Keys = append(e.Keys, ref)
			}
		}
	}
	return e
}

// byID returns the history entry of a change.
func (im Image) byID(id string) (Entry, bool) {
	for i := len(im.History) - 1; i >= 0; i-- {
		if im.History[i].ID == id {
			return im.History[i], true
		}
	}
	return Entry{}, false
}

// after returns the accepted changes above v, oldest first, and false if the
// history does not reach back to v.
func (im Image) after(v Version) ([]Entry, bool) {
	i := slices.IndexFunc(im.History, func(e Entry) bool { return e.Version > v })
	if i < 0 {
		i = len(im.History)
	}
	return im.History[i:], v >= im.Floor
}
