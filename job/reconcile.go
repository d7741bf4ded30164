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
	// maxConcurrentRecords bounds the records that wait for one append batch.
	maxConcurrentRecords = 256
	// reconcileRecordTimeout bounds one record.
	reconcileRecordTimeout = 10 * time.Second
	// partSeparator separates the id of a service from the number of an added part.
	partSeparator = "~"
)

// reconcileLoop compares the jobs of the shard with the intentions.
func (sh *shard) reconcileLoop() {
	for pause.For(sh.ctx, sh.scheduler.cfg.ReconcileEvery) {
		if sh.tenure() {
			sh.reconcile()
		}
	}
}

func (sh *shard) reconcile() {
	submit, cancel := sh.compareIntentions(sh.scheduler.cfg.Intentions.Desired(sh.scheduler.cfg.Now()))
	sh.mu.Lock()
	submit = sh.skipRefused(submit)
	nodeRevision := sh.nodeRevision
	sh.mu.Unlock()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRecords)
	runLimited := func(fn func(context.Context) error) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, done := context.WithTimeout(sh.ctx, reconcileRecordTimeout)
			defer done()
			if err := fn(ctx); err != nil {
				sh.scheduler.counts.inc("reconcile_failed", errkind.ReasonOf(err))
			}
		})
	}
	for _, j := range submit {
		runLimited(func(ctx context.Context) error {
			err := sh.acceptJob(ctx, j, true)
			sh.updateRefusal(j, nodeRevision, err)
			return err
		})
	}
	for _, id := range cancel {
		runLimited(func(ctx context.Context) error {
			return sh.journal.append(ctx, recordJobCancel, record{Shard: string(sh.key), ID: id, Time: sh.scheduler.cfg.Now()})
		})
	}
	wg.Wait()
}

// compareIntentions returns the jobs to submit and those to cancel. A batch or gang
// that is not wanted any more runs to its end; a service is stopped.
func (sh *shard) compareIntentions(desired []workload.Job) (submit []workload.Job, cancel []string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	parts := make(map[string][]*jobState) // managed services by base id
	teams := make(map[string]bool)
	for _, j := range sh.jobs {
		if !j.final() && !teams[j.job.Team] {
			teams[j.job.Team] = true
			sh.updateTeam(j.job.Team) // the quota may have changed
		}
		if j.managed && j.job.Kind == workload.Service {
			base, _, _ := strings.Cut(j.job.ID, partSeparator)
			parts[base] = append(parts[base], j)
		}
	}
	for _, d := range desired {
		team, ok := sh.scheduler.cfg.Intentions.Team(d.Team)
		if !ok || ShardOf(team.Home, d.Team, sh.scheduler.cfg.Shards) != sh.key {
			continue
		}
		if d.Kind != workload.Service {
			if sh.jobs[d.ID] == nil {
				submit = append(submit, d)
			}
			continue
		}
		add, drop := resizeService(d, parts[d.ID])
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

// resizeService compares a service with its parts. A service grows by an added part.
// It shrinks by cancelling parts, newest first, and adding what is then missing,
// so that a count is never changed within a job.
func resizeService(d workload.Job, parts []*jobState) (add []workload.Job, drop []string) {
	sort.Slice(parts, func(a, b int) bool { return partNumber(parts[a].job.ID) < partNumber(parts[b].job.ID) })
	count, nextPart := 0, 0
	var open []*jobState
	for _, p := range parts {
		nextPart = max(nextPart, partNumber(p.job.ID)+1)
		switch {
		case p.state == StateAccepted:
			open, count = append(open, p), count+p.job.Count
		case p.state != StateCancelling && p.state != StateCancelled:
			count += p.job.Count // it ended by itself and is not started again
		}
	}
	for i := len(open) - 1; i >= 0 && count > d.Count; i-- {
		drop = append(drop, open[i].job.ID)
		count -= open[i].job.Count
	}
	if count < d.Count {
		j := d
		j.Count = d.Count - count
		if nextPart > 0 {
			j.ID = fmt.Sprintf("%s%s%d", d.ID, partSeparator, nextPart)
		}
		add = append(add, j)
	}
	return add, drop
}

// partNumber returns 0 for the first part of a service.
func partNumber(id string) int {
	n := 0
	if _, s, ok := strings.Cut(id, partSeparator); ok {
		_, _ = fmt.Sscanf(s, "%d", &n)
	}
	return n
}
