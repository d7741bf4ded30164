package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// reclaimTasks bounds the tasks for which one pass takes resources back, and
// reclaimNodes the workers that it looks at.
const (
	reclaimTasks = 16
	reclaimNodes = 256
)

// reclaim takes borrowed resources back for the first job of g, of a blocked
// shape, if its team is within its quota: batch tasks that other teams run
// beyond their quotas are checkpointed. Each pass serves up to reclaimTasks
// tasks; the next one follows after Config.ReclaimAfter.
func (e *Engine) reclaim(g *group, now time.Time) {
	s, t, j := g.shape, g.team, g.head()
	if j == nil || t.quota.IsZero() || s.kind == workload.Gang || !t.used.Add(s.need).Fits(t.quota) {
		return
	}
	since := j.submitted
	if g.reclaimed.After(since) {
		since = g.reclaimed
	}
	if at := since.Add(e.cfg.ReclaimAfter); now.Before(at) {
		e.considerAt(at)
		return
	}
	g.reclaimed = now
	e.considerAt(now.Add(e.cfg.ReclaimAfter))
	want := min(len(j.pending), reclaimTasks, times(s.need, t.quota.Sub(t.used)))
	looked := 0
	for _, p := range e.poolList {
		if !s.allowsPool(p.key) || len(p.slots) == 0 {
			continue
		}
		start := e.rng.IntN(len(p.slots))
		for i := range p.slots {
			if want <= 0 || looked >= reclaimNodes {
				return
			}
			looked++
			if n := p.slots[(start+i)%len(p.slots)]; n != nil && n.open() {
				want -= e.reclaimOn(n, s, j, want)
			}
		}
	}
}

// reclaimOn checkpoints borrowed tasks on n to make room for up to want tasks of
// s, and returns for how many it did.
func (e *Engine) reclaimOn(n *node, s *shape, j *job, want int) int {
	e.stats.NodesExamined++
	room, fits := s.room(n), 0
	var take []*task
	for _, t := range n.tasks {
		if fits >= want {
			break
		}
		if t.state != taskRunning || !t.borrowed || !t.job.team.over || t.job.team == j.team || t.stopping ||
			t.job.spec.Kind != workload.Batch || !t.job.preemptible() || t.job.spec.Priority > j.spec.Priority {
			continue
		}
		room = room.Add(t.res)
		take = append(take, t)
		if k := times(s.need, room); k > fits {
			// Only tasks that complete the room for one more are worth a checkpoint.
			fits = k
			for _, v := range take {
				e.stop(v, PreemptCheckpoint, "quota_reclaim")
			}
			take = take[:0]
		}
	}
	return fits
}
