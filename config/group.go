package config

import (
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// group is the proposals of one record.
type group struct {
	rec     changeRecord
	members []*pending
	rest    []*pending // for a later record
}

func (g *group) answer(d decided) {
	for _, w := range g.members {
		w.done <- d
	}
}

// group answers the proposals that need no record and collects the others into
// one, as far as they do not touch the same entries.
func (p *Publisher) group(im Image, batch []*pending) group {
	today := p.today(im.State)
	g := group{rec: changeRecord{Format: recordFormat, Base: im.State.Version, Today: today}}
	b := grouping{im: im, work: make(map[string]Content), touched: make(map[Ref]bool), later: make(map[Version]later)}
	for _, w := range batch {
		if w.ctx.Err() != nil {
			w.done <- decided{err: errkind.New(errkind.Cancelled, "submit_cancelled", "the caller gave up before the change was sent")}
			continue
		}
		if w.Mode == Merge {
			w.look(b.laterThan(w.seen))
		}
		// Proposals that touch the same entries must see each other's result, so they go into different records.
		if b.full(p.cfg, len(g.members)) || b.overlaps(w.refs()) || w.Mode != Merge && len(g.members) > 0 {
			g.rest = append(g.rest, w)
			continue
		}
		work := b.content(w.Day)
		if d := w.decide(im, today, work); d != nil {
			w.done <- *d
			continue
		}
		b.add(w, work)
		g.members = append(g.members, w)
		g.rec.Parts = append(g.rec.Parts, w.change(p.cfg.Store.cfg.Now()))
	}
	return g
}

// grouping tracks what the members of a group do together.
type grouping struct {
	im      Image
	work    map[string]Content // by day, members applied
	touched map[Ref]bool
	later   map[Version]later // index of the history by where it begins
	ops     int
	alone   bool // the first member is a sheet or strict
}

func (b *grouping) full(cfg PublisherConfig, members int) bool {
	return b.alone || members >= cfg.MaxProposals || b.ops >= cfg.MaxOps
}

func (b *grouping) laterThan(v Version) later {
	l, ok := b.later[v]
	if !ok {
		l = b.im.laterThan(v)
		b.later[v] = l
	}
	return l
}

func (b *grouping) overlaps(refs map[Ref]bool) bool {
	for r := range refs {
		if b.touched[r] {
			return true
		}
	}
	return false
}

func (b *grouping) content(day string) Content {
	c, ok := b.work[day]
	if !ok {
		c = b.im.State.ContentAsOf(day).clone()
		b.work[day] = c
	}
	return c
}

func (b *grouping) add(w *pending, work Content) {
	applyOps(work, w.Ops, w.Day, b.im.State.Version, nil)
	for r := range w.refs() {
		b.touched[r] = true
	}
	b.ops += len(w.Ops)
	b.alone = w.Mode != Merge
}

func (p *Proposal) change(now time.Time) change {
	return change{ID: p.ID, By: p.By, PublishedAt: now.UTC().Truncate(time.Second), Day: p.Day, Summary: p.Summary, Sheet: p.Mode == Sheet, Ops: p.Ops}
}
