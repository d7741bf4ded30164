package job

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/workload"
)

const (
	// reconcileParallel bounds the records that wait for one append batch.
	reconcileParallel = 256
	// reconcileTimeout bounds one record.
	reconcileTimeout = 10 * time.Second
	// partMark separates the id of a service from the number of an added part.
	partMark = "~"
)

// reconcileLoop compares the jobs of the shard with the intentions.
func (sh *shard) reconcileLoop() {
	for pause.For(sh.ctx, sh.s.cfg.ReconcileEvery) {
		if sh.tenure() {
			sh.reconcile()
		}
	}
}

func (sh *shard) reconcile() {
	submit, cancel := sh.differences(sh.s.cfg.Intentions.Desired(sh.s.cfg.Now()))
	sh.mu.Lock()
	submit = sh.dueRefused(submit)
	cell := sh.cell
	sh.mu.Unlock()
	var wg sync.WaitGroup
	slots := make(chan struct{}, reconcileParallel)
	each := func(fn func(context.Context) error) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, done := context.WithTimeout(sh.ctx, reconcileTimeout)
			defer done()
			if err := fn(ctx); err != nil {
				sh.s.counts.inc("reconcile_failed", errkind.ReasonOf(err))
			}
		})
	}
	for _, j := range submit {
		each(func(ctx context.Context) error {
			err := sh.accept(ctx, j, true)
			sh.noteAccept(j, cell, err)
			return err
		})
	}
	for _, id := range cancel {
		each(func(ctx context.Context) error {
			return sh.journal.append(ctx, recordCancel, record{Shard: string(sh.key), ID: id, Time: sh.s.cfg.Now()})
		})
	}
	wg.Wait()
}

// differences returns the jobs to submit and those to cancel. A batch or gang
// that is not wanted any more runs to its end; a service is stopped.
func (sh *shard) differences(desired []workload.Job) (submit []workload.Job, cancel []string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	parts := make(map[string][]*jobState) // managed services by base id
	teams := make(map[string]bool)
	for _, j := range sh.jobs {
		if !j.final() && !teams[j.job.Team] {
			teams[j.job.Team] = true
			sh.setTeam(j.job.Team) // the quota may have changed
		}
		if j.managed && j.job.Kind == workload.Service {
			base, _, _ := strings.Cut(j.job.ID, partMark)
			parts[base] = append(parts[base], j)
		}
	}
	for _, d := range desired {
		team, ok := sh.s.cfg.Intentions.Team(d.Team)
		if !ok || ShardOf(team.Home, d.Team, sh.s.cfg.Shards) != sh.key {
			continue
		}
		if d.Kind != workload.Service {
			if sh.jobs[d.ID] == nil {
				submit = append(submit, d)
			}
			continue
		}
		add, drop := resize(d, parts[d.ID])
		submit, cancel = append(submit, add...), append(cancel, drop...)
		delete(parts, d.ID)
	}
	for _, ps := range parts {
		for _, p := range ps {
			if p.state == StateAccepted {
				cancel = append(cancel, p.job.ID)
			}
		}
	}
	return submit, cancel
}

// resize compares a service with its parts. A service grows by an added part.
// It shrinks by cancelling parts, newest first, and adding what is then missing,
// so that a count is never changed within a job.
func resize(d workload.Job, parts []*jobState) (add []workload.Job, drop []string) {
	sort.Slice(parts, func(a, b int) bool { return partNumber(parts[a].job.ID) < partNumber(parts[b].job.ID) })
	have, next := 0, 0
	var open []*jobState
	for _, p := range parts {
		next = max(next, partNumber(p.job.ID)+1)
		switch {
		case p.state == StateAccepted:
			open, have = append(open, p), have+p.job.Count
		case p.state != StateCancelling && p.state != StateCancelled:
			have += p.job.Count // it ended by itself and is not started again
		}
	}
	for i := len(open) - 1; i >= 0 && have > d.Count; i-- {
		drop = append(drop, open[i].job.ID)
		have -= open[i].job.Count
	}
	if have < d.Count {
		j := d
		j.Count = d.Count - have
		if next > 0 {
			j.ID = fmt.Sprintf("%s%s%d", d.ID, partMark, next)
		}
		add = append(add, j)
	}
	return add, drop
}

// partNumber returns 0 for the first part of a service.
func partNumber(id string) int {
	n := 0
	if _, s, ok := strings.Cut(id, partMark); ok {
		_, _ = fmt.Sscanf(s, "%d", &n)
	}
	return n
}
