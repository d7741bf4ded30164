package config

import (
	"fmt"
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

// Beaten is the cause of a conflict: the change that won.
type Beaten struct {
	Winner Entry
}

// Error implements error.
func (b *Beaten) Error() string {
	w := b.Winner
	return fmt.Sprintf("beaten by change %s of %s at %s (version %d: %s)", w.ID, w.By, w.At.Format("2006-01-02 15:04:05Z07:00"), w.Version, w.Summary)
}

// WinnerOf returns the change that beat the proposal, if err is such a conflict.
func WinnerOf(err error) (Entry, bool) {
	var b *Beaten
	if errors.As(err, &b) {
		return b.Winner, true
	}
	return Entry{}, false
}

func beatenBy(e Entry) error {
	return errkind.Wrap(errkind.Conflict, "change_beaten", &Beaten{e})
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

// decide answers p against im, or returns nil if p has to be appended. work is
// the content of p's day with the earlier members of the group applied.
func (p *Proposal) decide(im Image, today string, work Content) *decided {
	if e, ok := im.byID(p.ID); ok {
		return &decided{res: Result{Version: e.Version, Repeated: true}}
	}
	if p.Base > im.State.Version {
		return &decided{err: errkind.New(errkind.NotReady, "base_ahead", "this daemon is at version %d, the change is on %d", im.State.Version, p.Base)}
	}
	if p.Day < today {
		return &decided{err: errkind.New(errkind.BadInput, "day_passed", "the change is for %s, today is %s", p.Day, today)}
	}
	if p.Mode == Sheet {
		p.Ops = DiffContent(work, *p.Content)
	}
	_, planned := im.State.Plans[p.Day]
	effective := slices.ContainsFunc(p.Ops, func(o Op) bool { return o.Changes(work) })
	// A sheet for a later day that equals today's content still fixes that day.
	if !effective && (p.Mode != Sheet || planned || p.Day == today) {
		return &decided{res: Result{Version: im.State.Version, NoChange: true}}
	}
	if err := p.conflict(im); err != nil {
		return &decided{err: err}
	}
	if err := p.integrity(work); err != nil {
		return &decided{err: err}
	}
	return nil
}

func (p *Proposal) conflict(im Image) error {
	later, complete := im.after(p.Base)
	if p.Mode == Strict && len(later) > 0 {
		return beatenBy(later[0])
	}
	refs := p.refs()
	for _, e := range later {
		if p.Mode == Sheet && e.Sheet && e.Day == p.Day || e.touches(refs) {
			return beatenBy(e)
		}
	}
	if !complete {
		return errkind.New(errkind.Conflict, "base_too_old", "the history begins after version %d; the change is on %d", im.Floor, p.Base)
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

func (e Entry) touches(refs map[Ref]bool) bool {
	if len(e.Keys) == 0 {
		return e.Ops > 0
	}
	return slices.ContainsFunc(e.Keys, func(r Ref) bool { return refs[r] })
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
