package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// maxReclaimTasks bounds the waiting tasks for which one call of reclaim frees
// resources, and maxReclaimExamined the workers that it examines.
const (
	maxReclaimTasks    = 16
	maxReclaimExamined = 256
)

// reclaim frees resources for the first job of g, a group of a blocked shape, if its
// team stays within its quota with one more task: batch tasks that other teams run
// beyond their quotas are checkpointed. It does so when the job has waited for
// Config.ReclaimAfter, for up to maxReclaimTasks tasks, and again after each further
// Config.ReclaimAfter.
func (e *Engine) reclaim(g *group, now time.Time) {
	s, t, j := g.shape, g.team, g.head()
	if j == nil || t.quota.IsZero() || s.kind == workload.Gang || !t.used.Add(s.need).Fits(t.quota) {
		return
	}
	since := j.submitted
	if g.lastReclaim.After(since) {
		since = g.lastReclaim
	}
	if nextTry := since.Add(e.cfg.ReclaimAfter); now.Before(nextTry) {
		e.scheduleReserve(nextTry)
		return
	}
	g.lastReclaim = now
	e.scheduleReserve(now.Add(e.cfg.ReclaimAfter))
	remaining := min(len(j.pending), maxReclaimTasks, countFits(s.need, t.quota.Sub(t.used)))
	examined := 0
	for _, p := range e.poolOrder {
		if !s.allowsPool(p.key) || len(p.nodes) == 0 {
			continue
		}
		start := e.rng.IntN(len(p.nodes))
		for i := range p.nodes {
			if remaining <= 0 || examined >= maxReclaimExamined {
				return
			}
			examined++
			if n := p.nodes[(start+i)%len(p.nodes)]; n != nil && n.acceptsTasks() {
				remaining -= e.reclaimOn(n, s, j, remaining)
			}
		}
	}
}

// reclaimOn checkpoints tasks on n that run beyond the quotas of other teams, so that
// up to limit tasks of s fit, and returns how many then fit.
func (e *Engine) reclaimOn(n *node, s *shape, j *job, limit int) int {
	e.stats.NodesExamined++
	free, fits := s.freeOn(n), 0
	var victims []*task
	for _, t := range n.tasks {
		if fits >= limit {
			break
		}
		if t.state != taskRunning || !t.beyondQuota || !t.job.team.overQuota || t.job.team == j.team || t.stopping ||
			t.job.spec.Kind != workload.Batch || !t.job.preemptible() || t.job.spec.Priority > j.spec.Priority {
			continue
		}
		free = free.Add(t.held)
		victims = append(victims, t)
		if nowFits := countFits(s.need, free); nowFits > fits {
			// Tasks are stopped only if together they make one more task of s fit.
			fits = nowFits
			for _, victim := range victims {
				e.requestStop(victim, PreemptCheckpoint, "quota_reclaim")
			}
			victims = victims[:0]
		}
	}
	return fits
}
