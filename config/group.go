package config

import (
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// commitGroup holds the proposals that are committed together in one record.
type commitGroup struct {
	rec      changeRecord
	members  []*pendingProposal // in the order of rec.Changes
	deferred []*pendingProposal // proposals left for a later record
}

// respond gives all members the same response.
func (g *commitGroup) respond(r response) {
	for _, pp := range g.members {
		pp.done <- r
	}
}

// buildCommitGroup responds to the proposals that are refused or need no record and
// collects the others into one record. A proposal that changes an entry which an earlier
// member changes, or that does not fit, is deferred to a later record.
func (p *Publisher) buildCommitGroup(im Image, proposals []*pendingProposal) commitGroup {
	today := p.today(im.State)
	group := commitGroup{rec: changeRecord{FormatVersion: recordFormatVersion, Base: im.State.Version, Today: today}}
	b := groupBuilder{image: im, contentByDay: make(map[string]Content), changedRefs: make(map[Ref]bool), indexes: make(map[Version]historyIndex)}
	for _, pp := range proposals {
		if pp.ctx.Err() != nil {
			pp.done <- response{err: errkind.New(errkind.Cancelled, "submit_cancelled", "the caller cancelled before the change was appended")}
			continue
		}
		if pp.Mode == Merge {
			pp.checkHistory(b.indexAfter(pp.checkedUpTo))
		}
		// Proposals that change the same entries go into different records, so that the later one is checked against
		// the earlier one. A proposal that is not of mode Merge gets a record of its own.
		if b.full(p.cfg, len(group.members)) || b.overlaps(pp.refs()) || pp.Mode != Merge && len(group.members) > 0 {
			group.deferred = append(group.deferred, pp)
			continue
		}
		content := b.content(pp.Day)
		if r := pp.evaluate(im, today, content); r != nil {
			pp.done <- *r
			continue
		}
		b.add(pp, content)
		group.members = append(group.members, pp)
		group.rec.Changes = append(group.rec.Changes, pp.toChange(p.cfg.Store.cfg.Now()))
	}
	return group
}

// groupBuilder tracks the combined effect of the members of a commit group.
type groupBuilder struct {
	image        Image
	contentByDay map[string]Content       // with the ops of the members applied
	changedRefs  map[Ref]bool             // entries that members change
	indexes      map[Version]historyIndex // cache of image.indexAfter
	ops          int                      // of all members
	exclusive    bool                     // the member is not of mode Merge and has the record to itself
}

// full reports whether the record takes no further member.
func (b *groupBuilder) full(cfg PublisherConfig, members int) bool {
	return b.exclusive || members >= cfg.MaxProposals || b.ops >= cfg.MaxOps
}

// indexAfter returns image.indexAfter(v) from the cache.
func (b *groupBuilder) indexAfter(v Version) historyIndex {
	index, ok := b.indexes[v]
	if !ok {
		index = b.image.indexAfter(v)
		b.indexes[v] = index
	}
	return index
}

// overlaps reports whether a member changes one of the entries refs.
func (b *groupBuilder) overlaps(refs map[Ref]bool) bool {
	for r := range refs {
		if b.changedRefs[r] {
			return true
		}
	}
	return false
}

// content returns the content of a day with the ops of the members applied.
func (b *groupBuilder) content(day string) Content {
	c, ok := b.contentByDay[day]
	if !ok {
		c = b.image.State.ContentAsOf(day).clone()
		b.contentByDay[day] = c
	}
	return c
}

// add accounts for a new member and applies its ops to content, the content of its day.
func (b *groupBuilder) add(pp *pendingProposal, content Content) {
	applyOps(content, pp.Ops, pp.Day, b.image.State.Version, nil)
	for r := range pp.refs() {
		b.changedRefs[r] = true
	}
	b.ops += len(pp.Ops)
	b.exclusive = pp.Mode != Merge
}

// toChange returns the change to write into a record that is published at now.
func (p *Proposal) toChange(now time.Time) change {
	return change{ID: p.ID, By: p.By, PublishedAt: now.UTC().Truncate(time.Second), Day: p.Day, Summary: p.Summary, Sheet: p.Mode == Sheet, Ops: p.Ops}
}
