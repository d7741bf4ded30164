package job

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

const (
	// maxSnapshotRecords bounds the records that are carried forward in one append.
	// Each batch looks through all jobs of the shard.
	maxSnapshotRecords = 500
	// maxSnapshotEnds bounds the ends of tasks in one append, about 50 bytes each.
	maxSnapshotEnds = workload.MaxTasksPerJob
	// snapshotPoll is how often the position of the log is looked at.
	snapshotPoll = 50 * time.Millisecond
	// snapshotChecksPerRetention divides what the log keeps: after each part, records in the older
	// half are carried, which leaves several tries before they are dropped.
	snapshotChecksPerRetention = 8
)

// snapshotLoop appends the records of jobs anew before the log drops them. It looks
// through the jobs when time has passed or a part of what the log keeps was
// written since.
func (sh *shard) snapshotLoop() {
	checkEvery := min(sh.scheduler.cfg.SnapshotAfter/20, 10*time.Second)
	var lastCheck time.Time
	var lastNext upstream.Offset
	for pause.For(sh.ctx, snapshotPoll) {
		oldest, next := sh.journal.position()
		logGrew := oldest > 0 && next-lastNext > (next-oldest)/snapshotChecksPerRetention
		if now := sh.scheduler.cfg.Now(); sh.tenure() && (logGrew || now.Sub(lastCheck) >= checkEvery) {
			sh.appendSnapshots()
			lastCheck, lastNext = now, next
		}
	}
}

// appendSnapshots appends the records that are due, each job at most once, so that a log
// that keeps too little is not filled by it.
func (sh *shard) appendSnapshots() {
	sh.mu.Lock()
	remaining := len(sh.jobs)
	sh.mu.Unlock()
	for remaining > 0 && sh.tenure() {
		bodies := sh.dueSnapshots()
		if len(bodies) == 0 {
			return
		}
		remaining -= len(bodies)
		ctx, cancel := context.WithTimeout(sh.ctx, 10*time.Second)
		err := sh.journal.appendAll(ctx, recordSnapshot, bodies)
		cancel()
		if err != nil {
			sh.scheduler.counts.inc("carry_failed", errkind.ReasonOf(err))
			return
		}
		sh.scheduler.counts.add("carried", "", len(bodies))
	}
}

// dueSnapshots returns the next records to carry forward and forgets ended jobs after
// EndedRetention. A record is dueSnapshots when it is old, or in the older half of what a log
// that already drops records still holds.
func (sh *shard) dueSnapshots() []record {
	oldest, next := sh.journal.position()
	now := sh.scheduler.cfg.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var out []record
	ends := 0
	for id, j := range sh.jobs {
		if j.final() && now.Sub(j.endedAt) > sh.scheduler.cfg.EndedRetention && len(j.attempts) == 0 {
			delete(sh.jobs, id)
			continue
		}
		old := now.Sub(j.recordedAt) > sh.scheduler.cfg.SnapshotAfter
		soonDropped := oldest > 0 && j.recordOffset < oldest+(next-oldest)/2
		if (old || soonDropped) && len(out) < maxSnapshotRecords && ends < maxSnapshotEnds {
			r := j.snapshot(string(sh.key))
			r.SnapshotAt = now
			ends += len(r.Ends)
			out = append(out, r)
		}
	}
	return out
}
