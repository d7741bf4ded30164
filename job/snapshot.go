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
	// maxSnapshotRecords bounds the snapshots in one append. Smaller appends would cost
	// more, because dueSnapshots visits all jobs of the shard for each of them.
	maxSnapshotRecords = 500
	// maxSnapshotEnds is the number of task ends, about 50 bytes each, from which on
	// no further snapshot is added to an append.
	maxSnapshotEnds = workload.MaxTasksPerJob
	// snapshotPoll is how often the position in the log is checked.
	snapshotPoll = 50 * time.Millisecond
	// snapshotChecksPerRetention is how often the jobs are checked while the log writes
	// as many records as it retains. Jobs whose record is in the older half are then
	// appended again, which leaves several tries before the log drops the record.
	snapshotChecksPerRetention = 8
)

// snapshotLoop appends a snapshot of a job before the log drops the records of the
// job. It checks the jobs at a fixed interval, and also after the log has grown by a
// fraction of what it retains.
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

// appendSnapshots appends the snapshots that are due. It stops once it has appended as many
// as there are jobs, so that it does not fill a log whose retention is so small that the
// snapshots themselves make further ones due.
func (sh *shard) appendSnapshots() {
	sh.mu.Lock()
	remaining := len(sh.jobs)
	sh.mu.Unlock()
	for remaining > 0 && sh.tenure() {
		snapshots := sh.dueSnapshots()
		if len(snapshots) == 0 {
			return
		}
		remaining -= len(snapshots)
		ctx, cancel := context.WithTimeout(sh.ctx, 10*time.Second)
		err := sh.journal.appendAll(ctx, recordSnapshot, snapshots)
		cancel()
		if err != nil {
			sh.scheduler.counts.inc("carry_failed", errkind.ReasonOf(err))
			return
		}
		sh.scheduler.counts.add("carried", "", len(snapshots))
	}
}

// dueSnapshots returns the snapshots for the next append. It also removes the jobs that
// ended longer than EndedRetention ago and of which no attempt is left. A snapshot is due
// when the last record that holds the whole job is older than SnapshotAfter, or is in the
// older half of the records of a log that has begun to drop records.
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
