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
	// carryBatch bounds the records that are carried forward in one append.
	// Each batch looks through all jobs of the shard.
	carryBatch = 500
	// carryEnds bounds the ends of tasks in one append, about 50 bytes each.
	carryEnds = workload.MaxTasksPerJob
	// carryPoll is how often the position of the log is looked at.
	carryPoll = 50 * time.Millisecond
	// carryParts divides what the log keeps: after each part, records in the older
	// half are carried, which leaves several tries before they are dropped.
	carryParts = 8
)

// carryLoop appends the records of jobs anew before the log drops them. It looks
// through the jobs when time has passed or a part of what the log keeps was
// written since.
func (sh *shard) carryLoop() {
	every := min(sh.s.cfg.SnapshotAfter/20, 10*time.Second)
	var last time.Time
	var seen upstream.Offset
	for pause.For(sh.ctx, carryPoll) {
		oldest, next := sh.journal.position()
		moved := oldest > 0 && next-seen > (next-oldest)/carryParts
		if now := sh.s.cfg.Now(); sh.tenure() && (moved || now.Sub(last) >= every) {
			sh.carry()
			last, seen = now, next
		}
	}
}

// carry appends the records that are due, each job at most once, so that a log
// that keeps too little is not filled by it.
func (sh *shard) carry() {
	sh.mu.Lock()
	left := len(sh.jobs)
	sh.mu.Unlock()
	for left > 0 && sh.tenure() {
		bodies := sh.due()
		if len(bodies) == 0 {
			return
		}
		left -= len(bodies)
		ctx, cancel := context.WithTimeout(sh.ctx, 10*time.Second)
		err := sh.journal.appendAll(ctx, recordCarried, bodies)
		cancel()
		if err != nil {
			sh.s.counts.inc("carry_failed", errkind.ReasonOf(err))
			return
		}
		sh.s.counts.add("carried", "", len(bodies))
	}
}

// due returns the next records to carry forward and forgets ended jobs after
// EndedRetention. A record is due when it is old, or in the older half of what a log
// that already drops records still holds.
func (sh *shard) due() []record {
	oldest, next := sh.journal.position()
	now := sh.s.cfg.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var out []record
	ends := 0
	for id, j := range sh.jobs {
		if j.final() && now.Sub(j.endedAt) > sh.s.cfg.EndedRetention && len(j.flights) == 0 {
			delete(sh.jobs, id)
			continue
		}
		old := now.Sub(j.recordedAt) > sh.s.cfg.SnapshotAfter
		low := oldest > 0 && j.offset < oldest+(next-oldest)/2
		if (old || low) && len(out) < carryBatch && ends < carryEnds {
			r := j.carried(string(sh.key))
			r.SnapshotAt = now
			ends += len(r.Ends)
			out = append(out, r)
		}
	}
	return out
}
