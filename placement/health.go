package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

type healthState uint8

const (
	healthy healthState = iota
	quarantined
	probing // takes one task at a time until it succeeds or fails
)

// health tells a worker that fails everything from jobs that fail everywhere. A
// failure counts against the worker unless its job already failed on two other
// workers; failures of at least two jobs in a row, without a success between
// them, quarantine the worker.
type health struct {
	state  healthState
	streak int              // failures in a row that count against the worker
	blamed map[*job][]*task // evidence behind streak
	until  time.Time        // when a quarantined worker may be probed
	rounds int              // quarantines in a row
	probe  *task
}

// failsElsewhere is the number of workers on which a job must have failed before
// its failures stop counting against workers.
const failsElsewhere = 3

func (h *health) admits(*node) bool {
	return h.state == healthy || (h.state == probing && h.probe == nil)
}

// probeable reports whether s may go to n as its probe, if n is on probation.
// Urgent work, services and gangs are not used as probes.
func (n *node) probeable(s *shape) bool {
	return n.health.state != probing || (s.kind == workload.Batch && !s.urgent)
}

func (h *health) placed(n *node, t *task) {
	if h.state == probing && h.probe == nil {
		h.probe = t
		n.index()
	}
}

// ended forgets the probe t if it ended without a verdict.
func (h *health) ended(t *task) {
	if h.probe == t {
		h.probe = nil
	}
}

// succeeded records a success of j on n.
func (e *Engine) succeeded(j *job, n *node) {
	j.failures, j.failedOn = 0, nil
	h := &n.health
	if h.streak == 0 && h.state == healthy {
		return
	}
	h.streak, h.blamed = 0, nil
	if h.state != healthy {
		e.readmit(n)
	}
	h.rounds = 0
}

// blame records a failure of t on n.
func (e *Engine) blame(t *task, n *node, sure bool, now time.Time) {
	j, h := t.job, &n.health
	if h.state == probing {
		e.quarantine(n, now)
		return
	}
	if h.state == quarantined || !n.known {
		return
	}
	if !sure && len(j.failedOn) >= failsElsewhere {
		return
	}
	if h.blamed == nil {
		h.blamed = make(map[*job][]*task)
	}
	h.blamed[j] = append(h.blamed[j], t)
	h.streak++
	if h.streak >= e.cfg.QuarantineFailures && (sure || len(h.blamed) >= 2) {
		e.quarantine(n, now)
	}
}

// exonerate withdraws the failures of j as evidence after it failed on several
// workers, and readmits workers that were quarantined because of it.
func (e *Engine) exonerate(j *job) {
	for id := range j.failedOn {
		n := e.nodes[id]
		if n == nil || n.health.blamed[j] == nil {
			continue
		}
		h := &n.health
		h.streak -= len(h.blamed[j])
		delete(h.blamed, j)
		if h.state == quarantined && h.rounds == 1 && (h.streak < e.cfg.QuarantineFailures || len(h.blamed) < 2) {
			e.readmit(n)
			h.rounds = 0
		}
	}
}

// quarantine takes n out of use, unless the bounded share is used up.
func (e *Engine) quarantine(n *node, now time.Time) {
	h := &n.health
	if h.state == healthy {
		if (len(e.quarantined)+1)*quarantineShare > e.known {
			return
		}
		e.quarantined = append(e.quarantined, n)
		e.refund(n)
	}
	h.rounds++
	h.state, h.probe = quarantined, nil
	h.until = now.Add(e.jitter(e.cfg.QuarantineBase, e.cfg.QuarantineMax, h.rounds))
	e.probeAt(h.until)
	n.index()
	if n.resv != nil {
		e.dropReservation(n.resv.shape)
	}
}

// refund gives back the retries that tasks lost on n.
func (e *Engine) refund(n *node) {
	for j, tasks := range n.health.blamed {
		for _, t := range tasks {
			if t.state != taskFailed && t.failures > 0 {
				t.failures--
				j.failures = max(j.failures-1, 0)
			}
		}
		delete(j.failedOn, n.ID)
	}
}

func (e *Engine) readmit(n *node) {
	n.health.state, n.health.probe = healthy, nil
	e.quarantined = removeItem(e.quarantined, n)
	n.index()
	e.freed(n, none)
}

// reset forgets the health of a worker that leaves the cell.
func (h *health) reset(e *Engine, n *node) {
	if h.state != healthy {
		e.quarantined = removeItem(e.quarantined, n)
	}
	*h = health{}
}

func (e *Engine) probeAt(t time.Time) {
	if e.nextProbe.IsZero() || t.Before(e.nextProbe) {
		e.nextProbe = t
	}
}

// startProbes opens the quarantined workers whose time has come to one task. A
// worker for which no probe came up is readmitted with one failure to spare, so
// that a gang that needs it does not wait for ever.
func (e *Engine) startProbes(now time.Time) {
	if e.nextProbe.IsZero() || now.Before(e.nextProbe) {
		return
	}
	e.nextProbe = time.Time{}
	var due []*node
	for _, n := range e.quarantined {
		switch h := &n.health; {
		case h.probe != nil:
		case now.Before(h.until):
			e.probeAt(h.until)
		case h.state == quarantined:
			h.state, h.until = probing, now.Add(e.cfg.QuarantineBase)
			e.probeAt(h.until)
			n.index()
			e.freed(n, none)
		default:
			due = append(due, n)
		}
	}
	for _, n := range due {
		n.health.streak = e.cfg.QuarantineFailures - 1
		e.readmit(n)
	}
}
