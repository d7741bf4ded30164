package job

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// carryBatch bounds the records that are carried forward in one append.
const carryBatch = 64

// carryLoop appends the records of jobs anew before the log drops them.
func (sh *shard) carryLoop() {
	every := min(max(sh.s.cfg.CarryAfter/20, 50*time.Millisecond), 10*time.Second)
	for sleep(sh.ctx, every) {
		for sh.tenure() {
			bodies := sh.due()
			if len(bodies) == 0 {
				break
			}
			ctx, cancel := context.WithTimeout(sh.ctx, 10*time.Second)
			err := sh.journal.appendAll(ctx, recordCarried, bodies)
			cancel()
			if err != nil {
				sh.s.counts.inc("carry_failed", errkind.ReasonOf(err))
				break
			}
			sh.s.counts.add("carried", "", len(bodies))
			if len(bodies) < carryBatch {
				break
			}
		}
	}
}

// due returns the next records to carry forward and forgets ended jobs after
// KeepEnded. A record is due when it is old, or in the older half of what a log
// that already drops records still holds.
func (sh *shard) due() []record {
	oldest, next := sh.journal.position()
	now := sh.s.cfg.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var out []record
	for id, j := range sh.jobs {
		if j.final() && now.Sub(j.endedAt) > sh.s.cfg.KeepEnded && len(j.flights) == 0 {
			delete(sh.jobs, id)
			continue
		}
		old := now.Sub(j.recordedAt) > sh.s.cfg.CarryAfter
		low := oldest > 0 && j.offset < oldest+(next-oldest)/2
		if (old || low) && len(out) < carryBatch {
			r := j.carried(string(sh.key))
			r.Carried = now
			out = append(out, r)
		}
	}
	return out
}
