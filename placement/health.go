package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// healthState says whether a worker's recent failures keep it from taking tasks.
type healthState uint8

const (
	healthy     healthState = iota
	quarantined             // takes no tasks
	probing                 // on probation: takes one task at a time until one succeeds or fails
)

// health counts the failures on a worker. It tells a worker on which tasks of several
// jobs fail from a job that fails on several workers. A failure counts against the
// worker, unless its job has failed on two other workers. Config.QuarantineFailures
// such failures of at least two jobs, without a success between them, quarantine the
// worker.
type health struct {
	state                  healthState
	failureStreak          int              // failures since the last success that count against the worker
	failuresByJob          map[*job][]*task // the failed tasks that failureStreak counts
	probeTime              time.Time        // when a quarantined worker may be probed, or a probation ends without a probe
	consecutiveQuarantines int              // since the last success
	probeTask              *task            // placed as the probe; nil if none is
}

// jobFaultNodes is the number of workers on which tasks of a job must have failed
// before the failures of the job no longer count against workers.
const jobFaultNodes = 3

// admitsTask reports whether the worker's health lets it take a new task.
func (h *health) admitsTask(*node) bool {
	return h.state == healthy || (h.state == probing && h.probeTask == nil)
}

// probationAllows reports whether a task of s may go to n in spite of a probation of n:
// urgent work, services and gangs are not used as probes.
func (n *node) probationAllows(s *shape) bool {
	return n.health.state != probing || (s.kind == workload.Batch && !s.urgent)
}

// taskPlaced makes t the probe of n, if n is on probation and has none.
func (h *health) taskPlaced(n *node, t *task) {
	if h.state == probing && h.probeTask == nil {
		h.probeTask = t
		n.updateIndex()
	}
}

// taskEnded clears the probe if it is t. The outcome is recorded by recordSuccess or
// recordFailure; after any other end, another task becomes the probe.
func (h *health) taskEnded(t *task) {
	if h.probeTask == t {
		h.probeTask = nil
	}
}

// recordSuccess records that a task of j finished on n, and readmits n.
func (e *Engine) recordSuccess(j *job, n *node) {
	j.failures, j.failedOn = 0, nil
	h := &n.health
	if h.failureStreak == 0 && h.state == healthy {
		return
	}
	h.failureStreak, h.failuresByJob = 0, nil
	if h.state != healthy {
		e.readmit(n)
	}
	h.consecutiveQuarantines = 0
}

// recordFailure records that t failed on n, and quarantines n if that is due. With
// workerFault, the failure is known to be the worker's fault: it counts even if the
// job failed on other workers, and failures of a single job can quarantine n.
func (e *Engine) recordFailure(t *task, n *node, workerFault bool, now time.Time) {
	j, h := t.job, &n.health
	if h.state == probing {
		e.quarantine(n, now)
		return
	}
	if h.state == quarantined || !n.known {
		return
	}
	if !workerFault && len(j.failedOn) >= jobFaultNodes {
		return
	}
	if h.failuresByJob == nil {
		h.failuresByJob = make(map[*job][]*task)
	}
	h.failuresByJob[j] = append(h.failuresByJob[j], t)
	h.failureStreak++
	if h.failureStreak >= e.cfg.QuarantineFailures && (workerFault || len(h.failuresByJob) >= 2) {
		e.quarantine(n, now)
	}
}

// withdrawFailures stops counting the failures of j against workers, after it failed
// on several of them, and readmits workers that are quarantined for the first time
// and without these failures would not be.
func (e *Engine) withdrawFailures(j *job) {
	for id := range j.failedOn {
		n := e.nodes[id]
		if n == nil || n.health.failuresByJob[j] == nil {
			continue
		}
		h := &n.health
		h.failureStreak -= len(h.failuresByJob[j])
		delete(h.failuresByJob, j)
		if h.state == quarantined && h.consecutiveQuarantines == 1 && (h.failureStreak < e.cfg.QuarantineFailures || len(h.failuresByJob) < 2) {
			e.readmit(n)
			h.consecutiveQuarantines = 0
		}
	}
}

// quarantine takes n out of use, or extends its quarantine after a failed probe. It
// does nothing if the cell already has as many quarantined workers as
// quarantineDivisor allows.
func (e *Engine) quarantine(n *node, now time.Time) {
	h := &n.health
	if h.state == healthy {
		if (len(e.quarantined)+1)*quarantineDivisor > e.knownNodes {
			return
		}
		e.quarantined = append(e.quarantined, n)
		e.refundRetries(n)
	}
	h.consecutiveQuarantines++
	h.state, h.probeTask = quarantined, nil
	h.probeTime = now.Add(e.backoffDelay(e.cfg.QuarantineBase, e.cfg.QuarantineMax, h.consecutiveQuarantines))
	e.scheduleProbe(h.probeTime)
	n.updateIndex()
	if n.reservation != nil {
		e.dropReservation(n.reservation.shape)
	}
}

// refundRetries gives back the retries that tasks lost by failing on n.
func (e *Engine) refundRetries(n *node) {
	for j, tasks := range n.health.failuresByJob {
		for _, t := range tasks {
			if t.state != taskFailed && t.failures > 0 {
				t.failures--
				j.failures = max(j.failures-1, 0)
			}
		}
		delete(j.failedOn, n.ID)
	}
}

// readmit ends the quarantine or the probation of n.
func (e *Engine) readmit(n *node) {
	n.health.state, n.health.probeTask = healthy, nil
	e.quarantined = removeItem(e.quarantined, n)
	n.updateIndex()
	e.unblockFitting(n, noCapacity)
}

// reset clears the health of a worker that is removed.
func (h *health) reset(e *Engine, n *node) {
	if h.state != healthy {
		e.quarantined = removeItem(e.quarantined, n)
	}
	*h = health{}
}

// scheduleProbe makes Decide call startProbes at t, if it will not do so earlier.
func (e *Engine) scheduleProbe(t time.Time) {
	if e.nextProbe.IsZero() || t.Before(e.nextProbe) {
		e.nextProbe = t
	}
}

// startProbes puts the quarantined workers whose time has come on probation, in which
// they take one task. A worker to which no probe was placed for
// Config.QuarantineBase is readmitted, so that a gang that needs it does not wait for
// ever; the next failure quarantines it again.
func (e *Engine) startProbes(now time.Time) {
	if e.nextProbe.IsZero() || now.Before(e.nextProbe) {
		return
	}
	e.nextProbe = time.Time{}
	var unprobed []*node
	for _, n := range e.quarantined {
		switch h := &n.health; {
		case h.probeTask != nil:
		case now.Before(h.probeTime):
			e.scheduleProbe(h.probeTime)
		case h.state == quarantined:
			h.state, h.probeTime = probing, now.Add(e.cfg.QuarantineBase)
			e.scheduleProbe(h.probeTime)
			n.updateIndex()
			e.unblockFitting(n, noCapacity)
		default:
			unprobed = append(unprobed, n)
		}
	}
	for _, n := range unprobed {
		n.health.failureStreak = e.cfg.QuarantineFailures - 1
		e.readmit(n)
	}
}
