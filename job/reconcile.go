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
	// maxConcurrentRecords bounds the records that are being appended at the same time.
	maxConcurrentRecords = 256
	// reconcileRecordTimeout bounds the append of one record, until it is read back.
	reconcileRecordTimeout = 10 * time.Second
	// partSeparator separates the id of a service from the number of a part, see resizeService.
	partSeparator = "~"
)

// reconcileLoop compares the jobs of the shard with the intentions every ReconcileEvery.
func (sh *shard) reconcileLoop() {
	for pause.For(sh.ctx, sh.scheduler.cfg.ReconcileEvery) {
		if sh.tenure() {
			sh.reconcile()
		}
	}
}

// reconcile submits the jobs that the intentions add and cancels those that they drop. What
// fails is tried again by the next call.
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

// compareIntentions returns the jobs to submit and the ids of those to cancel. A batch or
// gang that the intentions drop runs to its end; a service is stopped. It also updates the
// quotas of the teams in the engine.
func (sh *shard) compareIntentions(desired []workload.Job) (submit []workload.Job, cancel []string) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	parts := make(map[string][]*jobState) // jobs of each managed service, by the id of the service
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

// resizeService compares the intended service d with its parts, the jobs that run its
// tasks. The count of a job never changes. A service grows by a further part. It shrinks by
// cancelling parts, newest first, and adding a part with the tasks that are then missing.
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
			count += p.job.Count // the part ended by itself and is not replaced
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

// partNumber returns the number of a part of a service from its job id. The first part has
// the id of the service and number 0.
func partNumber(id string) int {
	n := 0
	if _, s, ok := strings.Cut(id, partSeparator); ok {
		_, _ = fmt.Sscanf(s, "%d", &n)
	}
	return n
}
