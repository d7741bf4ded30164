package config

import (
	"fmt"
	"math"
	"slices"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Mode selects which other changes beat a proposal.
type Mode int

// The modes.
const (
	// Strict proposals lose to any change accepted after their base.
	Strict Mode = iota
	// Merge proposals lose only to a change of one of their entries. Small changes use it.
	Merge
	// Sheet proposals replace the whole content of a day. They lose to any other
	// sheet for the same day and to a change of an entry that they would undo.
	Sheet
)

// AnyBase is the base of a Merge proposal that no earlier change beats: the last
// one submitted wins.
const AnyBase = Version(math.MaxUint64)

// Proposal is a change that a user submits. All of it takes effect or nothing.
type Proposal struct {
	ID   string // ULID of the caller; a repeat with the same ID is settled, not run again
	Base Version
	Mode Mode
	Day  string // local date from which it holds; empty means today
	// Ops are the changes of a Strict or Merge proposal.
	Ops []Op
	// Content is the whole content of the day of a Sheet proposal. The ops follow
	// from it and the state at the time of publication.
	Content *Content
	By      string
	Summary string
}

// Result tells what became of a proposal that did not fail.
type Result struct {
	Version  Version
	NoChange bool // the content was in force already
	Repeated bool // the same ID had been accepted before
}

// ConflictError is the cause of a conflict: the change that won.
type ConflictError struct {
	Change Entry
}

// Error implements error.
func (b *ConflictError) Error() string {
	w := b.Change
	return fmt.Sprintf("beaten by change %s of %s at %s (version %d: %s)", w.ID, w.By, w.PublishedAt.Format("2006-01-02 15:04:05Z07:00"), w.Version, w.Summary)
}

// ConflictingChange returns the change that beat the proposal, if err is such a conflict.
func ConflictingChange(err error) (Entry, bool) {
	var b *ConflictError
	if errors.As(err, &b) {
		return b.Change, true
	}
	return Entry{}, false
}

func beatenBy(e Entry) error {
	return errkind.Wrap(errkind.Conflict, "change_beaten", &ConflictError{e})
}

func (p *Proposal) validate() error {
	bad := func(format string, args ...any) error {
		return errkind.New(errkind.BadInput, "proposal_invalid", format, args...)
	}
	if p.ID == "" || p.By == "" || len(p.ID) > 128 || len(p.By) > 128 || len(p.Summary) > 1024 {
		return bad("id and by must have 1 to 128 bytes, summary at most 1024")
	}
	if _, err := parseDate(p.Day); p.Day != "" && err != nil {
		return bad("day must be YYYY-MM-DD, got %q", p.Day)
	}
	if p.Base == AnyBase && p.Mode != Merge {
		return bad("only a Merge proposal may leave out its base")
	}
	ops := p.Ops
	if (p.Mode == Sheet) != (p.Content != nil) || p.Content != nil && len(ops) > 0 {
		return bad("a sheet has content and no ops, any other change has ops and no content")
	}
	if p.Content != nil {
		ops = DiffContent(Content{}, *p.Content)
	}
	seen := make(map[Ref]bool, len(ops))
	for _, o := range ops {
		if err := o.Validate(); err != nil {
			return err
		}
		ref, _ := o.Ref()
		if seen[ref] {
			return bad("two ops for %s", ref)
		}
		seen[ref] = true
	}
	return nil
}

// decided is the answer to a proposal that needs no record.
type decided struct {
	res Result
	err error
}

// decide answers w against im, or returns nil if w has to be appended. work is
// the content of w's day with the earlier members of the group applied.
func (w *pending) decide(im Image, today string, work Content) *decided {
	w.look(im.laterThan(w.seen))
	if w.accepted > 0 {
		return &decided{res: Result{Version: w.accepted, Repeated: true}}
	}
	if w.Base > im.State.Version && w.Base != AnyBase {
		return &decided{err: errkind.New(errkind.NotReady, "base_ahead", "this daemon is at version %d, the change is on %d", im.State.Version, w.Base)}
	}
	if w.Day < today {
		return &decided{err: errkind.New(errkind.BadInput, "day_passed", "the change is for %s, today is %s", w.Day, today)}
	}
	if w.Day > today && slices.ContainsFunc(w.Ops, func(o Op) bool { return o.Drain != nil && o.Drain.Operator }) {
		return &decided{err: errkind.New(errkind.BadInput, "drain_later", "an operator's drain takes effect at once; it cannot be set for %s", w.Day)}
	}
	if w.Mode == Sheet {
		w.Ops = DiffContent(work, *w.Content)
	}
	_, planned := im.State.Plans[w.Day]
	effective := slices.ContainsFunc(w.Ops, func(o Op) bool { return o.Changes(work) })
	// A sheet for a later day that equals today's content still fixes that day.
	if !effective && (w.Mode != Sheet || planned || w.Day == today) {
		return &decided{res: Result{Version: im.State.Version, NoChange: true}}
	}
	if w.Mode == Sheet {
		w.look(im.laterThan(w.Base)) // the ops are known only now
	}
	if w.winner != nil {
		return &decided{err: beatenBy(*w.winner)}
	}
	if w.lost {
		return &decided{err: errkind.New(errkind.OutcomeUnknown, "base_too_old",
			"the history begins after version %d, the change is on %d; this call changed nothing, but an earlier one with the same id may have", im.Floor, w.Base)}
	}
	if err := w.integrity(work); err != nil {
		return &decided{err: err}
	}
	return nil
}

// later indexes the changes accepted after a version.
type later struct {
	complete bool // the history reaches back to the version
	upTo     Version
	first    *Entry
	wide     *Entry // first change that may have touched any entry
	byKey    map[Ref]*Entry
	bySheet  map[string]*Entry // sheets by day
	ids      map[string]Version
}

func (im Image) laterThan(v Version) later {
	entries, complete := im.after(v)
	l := later{complete: complete, upTo: im.State.Version, byKey: make(map[Ref]*Entry), bySheet: make(map[string]*Entry), ids: make(map[string]Version)}
	for i := range entries {
		e := &entries[i]
		l.ids[e.ID] = e.Version
		if l.first == nil {
			l.first = e
		}
		if len(e.Keys) == 0 && e.Ops > 0 && l.wide == nil {
			l.wide = e
		}
		for _, k := range e.Keys {
			if l.byKey[k] == nil {
				l.byKey[k] = e
			}
		}
		if e.Sheet && l.bySheet[e.Day] == nil {
			l.bySheet[e.Day] = e
		}
	}
	return l
}

// look notes what the changes after w.seen mean for w. A Merge proposal that
// waits in a long queue looks at every round, so that the bounded history does
// not run past it; the ops of a sheet are known only when it is decided.
func (w *pending) look(l later) {
	if v, ok := l.ids[w.ID]; ok && w.accepted == 0 {
		w.accepted = v
	}
	if w.Base != AnyBase {
		w.lost = w.lost || !l.complete
		if w.winner == nil {
			w.winner = l.beats(&w.Proposal)
		}
	}
	if w.Mode == Merge {
		w.seen = l.upTo
	}
}

// beats returns the first change found that beats p.
func (l later) beats(p *Proposal) *Entry {
	if p.Mode == Strict {
		return l.first
	}
	if e := l.bySheet[p.Day]; p.Mode == Sheet && e != nil {
		return e
	}
	refs := p.refs()
	if l.wide != nil && len(refs) > 0 {
		return l.wide
	}
	for r := range refs {
		if e := l.byKey[r]; e != nil {
			return e
		}
	}
	return nil
}

func (p *Proposal) refs() map[Ref]bool {
	out := make(map[Ref]bool, len(p.Ops))
	for _, o := range p.Ops {
		if ref, ok := o.Ref(); ok {
			out[ref] = true
		}
	}
	return out
}

// integrity checks that every intention keeps its team.
func (p *Proposal) integrity(c Content) error {
	added, removed := make(map[string]bool), make(map[Ref]bool)
	for _, o := range p.Ops {
		if o.Team != nil {
			added[o.Team.Name] = true
		}
		if o.Remove != nil {
			removed[*o.Remove] = true
		}
	}
	bad := func(team, key string) error {
		return errkind.New(errkind.BadInput, "unknown_team", "intention %s needs team %q, which does not exist after the change", key, team)
	}
	for _, o := range p.Ops {
		if o.Intention == nil {
			continue
		}
		team := o.Intention.Job.Team
		if _, ok := c.Teams[team]; (!ok && !added[team]) || removed[Ref{TeamEntry, team}] {
			return bad(team, IntentionKey(team, o.Intention.Name))
		}
	}
	for key, it := range c.Intentions {
		if removed[Ref{TeamEntry, it.Job.Team}] && !removed[Ref{IntentionEntry, key}] {
			return bad(it.Job.Team, key)
		}
	}
	return nil
}
