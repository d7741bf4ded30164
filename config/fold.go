package config

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// maxKeysPerEntry is the largest number of keys kept in a history entry. A change
// with more ops is treated as a change of every entry of the configuration.
const maxKeysPerEntry = 64

// Entry is an accepted change in the history.
type Entry struct {
	Version     Version   `json:"version"`
	Base        Version   `json:"base"`
	ID          string    `json:"id"`
	By          string    `json:"by"`
	PublishedAt time.Time `json:"at"` // by the clock of the publisher
	Day         string    `json:"day"`
	Summary     string    `json:"summary,omitempty"`
	Sheet       bool      `json:"sheet,omitempty"`
	Ops         int       `json:"ops"`
	Keys        []Ref     `json:"keys,omitempty"` // changed entries of the configuration; empty if there were too many
}

// Image is everything that a store folds from the stream config. Snapshots hold an
// image, and peers transfer one. It is immutable once published.
type Image struct {
	State   *State          `json:"state"`
	History []Entry         `json:"history"` // oldest first, bounded
	Floor   Version         `json:"floor"`   // every accepted change with a higher version is in History
	Next    upstream.Offset `json:"next"`    // offset of the next record to fold
}

func emptyImage() Image { return Image{State: emptyState()} }

// foldResult tells how fold treated a record.
type foldResult struct {
	accepted bool
	ignored  error        // why the record is not a valid change; nil if it is one, or part of a snapshot
	rec      changeRecord // zero for a snapshot part and an ignored record
}

// fold returns the image after record r, and how r was treated. The image depends on
// nothing but im, r and historyLimit, so that every daemon gets the same. It must be
// called at most once on an image, because the old and the new history share memory.
// The only error is errNewerFormat; it comes with im unchanged.
func (im Image) fold(r upstream.Record, historyLimit int) (Image, foldResult, error) {
	next := im
	next.Next = r.Offset + 1
	if len(r.Data) > 0 && r.Data[0] == tagSnapshotPart {
		return next, foldResult{}, nil
	}
	rec, err := decodeChange(r.Data)
	if errors.Is(err, errNewerFormat) {
		return im, foldResult{}, err
	}
	if err != nil {
		return next, foldResult{ignored: err}, nil
	}
	if rec.Base != im.State.Version || im.hasPassedDay(rec) {
		return next, foldResult{rec: rec}, nil
	}
	v := VersionAt(r.Offset)
	next.State = im.State.applyRecord(rec, v)
	for _, c := range rec.Changes {
		next.History = append(next.History, newEntry(c, rec.Base, v))
	}
	for len(next.History) > historyLimit {
		next.Floor = next.History[0].Version
		next.History = next.History[1:]
	}
	return next, foldResult{accepted: true, rec: rec}, nil
}

// hasPassedDay reports whether rec has a change for a day that is over.
func (im Image) hasPassedDay(rec changeRecord) bool {
	today := max(im.State.Today, rec.Today)
	return slices.ContainsFunc(rec.Changes, func(c change) bool { return c.Day < today })
}

// applyRecord returns the state after an accepted record, which produces version v.
func (st *State) applyRecord(rec changeRecord, v Version) *State {
	out := st.cloneChangedMaps(rec)
	out.promotePlans(max(rec.Today, out.Today))
	out.Version = v
	for _, c := range rec.Changes {
		if c.Day <= out.Today {
			content := out.content()
			applyOps(content, c.Ops, c.Day, v, func(key string, old Intention) { out.retire(key, old, c.Day) })
			continue
		}
		plan := out.ContentAsOf(c.Day).clone()
		applyOps(plan, c.Ops, c.Day, v, nil)
		out.Plans[c.Day] = plan
	}
	return out
}

// cloneChangedMaps returns a copy of st with its own copies of the maps that rec
// changes. Copying all maps would make a small change cost as much as the largest map.
func (st *State) cloneChangedMaps(rec changeRecord) *State {
	out := *st
	out.Plans, out.Retired = cloneMap(st.Plans), cloneMap(st.Retired)
	copied := make(map[EntryKind]bool)
	for _, c := range rec.Changes {
		for _, o := range c.Ops {
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

// newEntry returns the history entry of a change that was made on base and accepted as v.
func newEntry(c change, base, v Version) Entry {
	e := Entry{Version: v, Base: base, ID: c.ID, By: c.By, PublishedAt: c.PublishedAt, Day: c.Day, Summary: c.Summary, Sheet: c.Sheet, Ops: len(c.Ops)}
	if len(c.Ops) <= maxKeysPerEntry {
		for _, o := range c.Ops {
			if ref, ok := o.Ref(); ok {
				e.Keys = append(e.Keys, ref)
			}
		}
	}
	return e
}

// entryByID returns the newest history entry of the change with an id, and false if
// the history has none.
func (im Image) entryByID(id string) (Entry, bool) {
	for i := len(im.History) - 1; i >= 0; i-- {
		if im.History[i].ID == id {
			return im.History[i], true
		}
	}
	return Entry{}, false
}

// entriesAfter returns the changes accepted after version v, oldest first, and false
// if the history no longer holds all of them.
func (im Image) entriesAfter(v Version) ([]Entry, bool) {
	i := slices.IndexFunc(im.History, func(e Entry) bool { return e.Version > v })
	if i < 0 {
		i = len(im.History)
	}
	return im.History[i:], v >= im.Floor
}
