package config

import (
	"fmt"
	"math"
	"slices"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Mode selects which changes accepted after the base of a proposal conflict with it.
type Mode int

// The modes.
const (
	// Strict proposals conflict with any change accepted after their base.
	Strict Mode = iota
	// Merge proposals conflict only with a change of one of their entries. Small changes use it.
	Merge
	// Sheet proposals replace the whole content of a day. They conflict with any
	// other sheet for the same day and with a change of an entry that they would undo.
	Sheet
)

// AnyBase is the base of a Merge proposal that conflicts with no earlier change:
// the last proposal submitted wins.
const AnyBase = Version(math.MaxUint64)

// Proposal is a change that a user submits. All of it takes effect or nothing.
type Proposal struct {
	ID   string  // ULID chosen by the caller; a repeat with the same ID gets the first result and is not applied again
	Base Version // version of the configuration that the change was prepared on
	Mode Mode
	Day  string // local date from which it holds, "2006-01-02"; empty means today
	// Ops are the changes of a Strict or Merge proposal.
	Ops []Op
	// Content is the whole content of the day of a Sheet proposal. The ops are the
	// difference between it and the state at the time of publication.
	Content *Content
	By      string // who submits the change
	Summary string // shown in the history
}

// Result is the result of a proposal that succeeded.
type Result struct {
	Version  Version // version that contains the change
	NoChange bool    // the content was in force already
	Repeated bool    // the same ID had been accepted before
}

// ConflictError names the accepted change that a proposal conflicts with.
type ConflictError struct {
	Change Entry
}

// Error implements error.
func (e *ConflictError) Error() string {
	c := e.Change
	return fmt.Sprintf("conflicts with change %s by %s, published at %s (version %d: %s)", c.ID, c.By, c.PublishedAt.Format("2006-01-02 15:04:05Z07:00"), c.Version, c.Summary)
}

// ConflictingChange returns the accepted change that a proposal conflicts with,
// and false if err is not a ConflictError.
func ConflictingChange(err error) (Entry, bool) {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict.Change, true
	}
	return Entry{}, false
}

func newConflictError(e Entry) error {
	return errkind.Wrap(errkind.Conflict, "change_beaten", &ConflictError{e})
}

// validate checks everything that does not depend on the state of the store.
func (p *Proposal) validate() error {
	invalid := func(format string, args ...any) error {
		return errkind.New(errkind.BadInput, "proposal_invalid", format, args...)
	}
	if p.ID == "" || p.By == "" || len(p.ID) > 128 || len(p.By) > 128 || len(p.Summary) > 1024 {
		return invalid("id and by must have 1 to 128 bytes, summary at most 1024")
	}
	if _, err := parseDate(p.Day); p.Day != "" && err != nil {
		return invalid("day must be YYYY-MM-DD, got %q", p.Day)
	}
	if p.Base == AnyBase && p.Mode != Merge {
		return invalid("only a Merge proposal may omit its base")
	}
	ops := p.Ops
	if (p.Mode == Sheet) != (p.Content != nil) || p.Content != nil && len(ops) > 0 {
		return invalid("a Sheet proposal must have content and no ops, any other proposal must have no content")
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
			return invalid("two ops for %s", ref)
		}
		seen[ref] = true
	}
	return nil
}

// response is what Submit returns for one proposal.
type response struct {
	result Result
	err    error
}

// evaluate checks the proposal against im. It returns the response if no record is
// needed, and nil if the proposal has to be appended. content is the content of the
// proposal's day with the earlier members of the commit group applied.
func (pp *pendingProposal) evaluate(im Image, today string, content Content) *response {
	pp.checkHistory(im.indexAfter(pp.checkedUpTo))
	if pp.acceptedVersion > 0 {
		return &response{result: Result{Version: pp.acceptedVersion, Repeated: true}}
	}
	if pp.Base > im.State.Version && pp.Base != AnyBase {
		return &response{err: errkind.New(errkind.NotReady, "base_ahead", "this daemon is at version %d, but the change is based on version %d", im.State.Version, pp.Base)}
	}
	if pp.Day < today {
		return &response{err: errkind.New(errkind.BadInput, "day_passed", "the change is for %s, today is %s", pp.Day, today)}
	}
	if pp.Day > today && slices.ContainsFunc(pp.Ops, func(o Op) bool { return o.Drain != nil && o.Drain.Operator }) {
		return &response{err: errkind.New(errkind.BadInput, "drain_later", "an operator's drain takes effect immediately; it cannot be set for %s", pp.Day)}
	}
	if pp.Mode == Sheet {
		pp.Ops = DiffContent(content, *pp.Content)
	}
	_, planned := im.State.Plans[pp.Day]
	effective := slices.ContainsFunc(pp.Ops, func(o Op) bool { return o.Changes(content) })
	// A sheet for a later day is stored even if it equals today's content, so that
	// later changes of today's content don't alter that day.
	if !effective && (pp.Mode != Sheet || planned || pp.Day == today) {
		return &response{result: Result{Version: im.State.Version, NoChange: true}}
	}
	if pp.Mode == Sheet {
		pp.checkHistory(im.indexAfter(pp.Base)) // the ops are known only now
	}
	if pp.conflict != nil {
		return &response{err: newConflictError(*pp.conflict)}
	}
	if pp.historyTooShort {
		return &response{err: errkind.New(errkind.OutcomeUnknown, "base_too_old",
			"the history begins after version %d, but the change is based on version %d; this call changed nothing, but an earlier call with the same id may have", im.Floor, pp.Base)}
	}
	if err := pp.validateTeams(content); err != nil {
		return &response{err: err}
	}
	return nil
}

// historyIndex indexes the changes accepted after a version. Each *Entry is the
// oldest change that fits the description of its field.
type historyIndex struct {
	complete         bool // the history reaches back to the version
	upTo             Version
	first            *Entry
	firstWithoutKeys *Entry // has more keys than are kept, so it may have changed any entry
	byRef            map[Ref]*Entry
	sheetByDay       map[string]*Entry
	versionByID      map[string]Version // by change id
}

// indexAfter indexes the changes accepted after v.
func (im Image) indexAfter(v Version) historyIndex {
	entries, complete := im.entriesAfter(v)
	index := historyIndex{complete: complete, upTo: im.State.Version, byRef: make(map[Ref]*Entry), sheetByDay: make(map[string]*Entry), versionByID: make(map[string]Version)}
	for i := range entries {
		e := &entries[i]
		index.versionByID[e.ID] = e.Version
		if index.first == nil {
			index.first = e
		}
		if len(e.Keys) == 0 && e.Ops > 0 && index.firstWithoutKeys == nil {
			index.firstWithoutKeys = e
		}
		for _, k := range e.Keys {
			if index.byRef[k] == nil {
				index.byRef[k] = e
			}
		}
		if e.Sheet && index.sheetByDay[e.Day] == nil {
			index.sheetByDay[e.Day] = e
		}
	}
	return index
}

// checkHistory looks for the proposal's ID and for a conflict among the changes
// accepted after pp.checkedUpTo. A Merge proposal that waits in a long queue checks
// before every record, so that the bounded history does not drop changes that it has
// not checked. The ops of a sheet are known only when it is evaluated.
func (pp *pendingProposal) checkHistory(index historyIndex) {
	if v, ok := index.versionByID[pp.ID]; ok && pp.acceptedVersion == 0 {
		pp.acceptedVersion = v
	}
	if pp.Base != AnyBase {
		pp.historyTooShort = pp.historyTooShort || !index.complete
		if pp.conflict == nil {
			pp.conflict = index.conflictWith(&pp.Proposal)
		}
	}
	if pp.Mode == Merge {
		pp.checkedUpTo = index.upTo
	}
}

// conflictWith returns a change that conflicts with p, or nil if there is none.
func (index historyIndex) conflictWith(p *Proposal) *Entry {
	if p.Mode == Strict {
		return index.first
	}
	if e := index.sheetByDay[p.Day]; p.Mode == Sheet && e != nil {
		return e
	}
	refs := p.refs()
	if index.firstWithoutKeys != nil && len(refs) > 0 {
		return index.firstWithoutKeys
	}
	for r := range refs {
		if e := index.byRef[r]; e != nil {
			return e
		}
	}
	return nil
}

// refs returns the entries that the ops of p change.
func (p *Proposal) refs() map[Ref]bool {
	out := make(map[Ref]bool, len(p.Ops))
	for _, o := range p.Ops {
		if ref, ok := o.Ref(); ok {
			out[ref] = true
		}
	}
	return out
}

// validateTeams checks that every intention still has its team after the ops of p
// are applied to c.
func (p *Proposal) validateTeams(c Content) error {
	added, removed := make(map[string]bool), make(map[Ref]bool)
	for _, o := range p.Ops {
		if o.Team != nil {
			added[o.Team.Name] = true
		}
		if o.Remove != nil {
			removed[*o.Remove] = true
		}
	}
	unknownTeam := func(team, key string) error {
		return errkind.New(errkind.BadInput, "unknown_team", "intention %s needs team %q, which does not exist after the change", key, team)
	}
	for _, o := range p.Ops {
		if o.Intention == nil {
			continue
		}
		team := o.Intention.Job.Team
		if _, ok := c.Teams[team]; (!ok && !added[team]) || removed[Ref{TeamEntry, team}] {
			return unknownTeam(team, IntentionKey(team, o.Intention.Name))
		}
	}
	for key, it := range c.Intentions {
		if removed[Ref{TeamEntry, it.Job.Team}] && !removed[Ref{IntentionEntry, key}] {
			return unknownTeam(it.Job.Team, key)
		}
	}
	return nil
}
