package sched

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"
	"time"
)

// occurrence is one run of the steps of a job. It exists from when it is due, or from when
// a run or progress of one of its tasks shows up, until all its tasks are done. So a
// periodic job takes memory for its tasks only while their turn has come.
type occurrence struct {
	job       *job
	number    int
	due       time.Duration // when its tasks may start
	steps     []*step
	doneSteps int
}

// dueTimes are the times at which the occurrences of a job may start.
type dueTimes struct {
	arrived  time.Duration // used if the job is not periodic
	periodic bool
	setAt    time.Duration // time on the engine's clock at which the wall clock showed wallMs
	wallMs   int64
	firstMs  int64 // of occurrence 0, Unix ms
	interval int64 // ms
}

// of returns when an occurrence is due.
func (d *dueTimes) of(occurrence int) time.Duration {
	if !d.periodic {
		return d.arrived
	}
	return d.setAt + spanOfMillis(d.firstMs+int64(occurrence)*d.interval-d.wallMs)
}

// numberSet is a set of small numbers.
type numberSet []uint64

func (s numberSet) has(n int) bool { return n/64 < len(s) && s[n/64]&(1<<(n%64)) != 0 }

func (s *numberSet) add(n int) {
	if missing := n/64 + 1 - len(*s); missing > 0 {
		*s = append(*s, make([]uint64, missing)...)
	}
	(*s)[n/64] |= 1 << (n % 64)
}

func (s numberSet) size() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// tasksPerOccurrence returns the number of tasks of one occurrence.
func (j *job) tasksPerOccurrence() int { return j.taskCount / j.spec.Occurrences() }

// findOpen returns the place of an occurrence in j.open, and whether it is there.
func (j *job) findOpen(number int) (int, bool) {
	return slices.BinarySearchFunc(j.open, number, func(o *occurrence, n int) int { return cmp.Compare(o.number, n) })
}

// unopened returns how many occurrences of j are neither open nor done.
func (j *job) unopened() int {
	n := j.spec.Occurrences() - len(j.open)
	if j.spec.Repeat > 0 {
		n -= j.done.size() // they are closed
	}
	return n
}

// occurrence returns an occurrence and opens it if it is not open yet. It returns nil if
// the job does not have it, if all its tasks are done, and if it is not open and the job
// has ended.
func (e *Engine) occurrence(j *job, number int) *occurrence {
	if i, open := j.findOpen(number); open {
		return j.open[i]
	}
	if number < 0 || number >= j.spec.Occurrences() || j.done.has(number) || j.state.final() {
		return nil
	}
	return e.openOccurrence(j, number)
}

// openOccurrence makes the steps and tasks of an occurrence that is not open.
func (e *Engine) openOccurrence(j *job, number int) *occurrence {
	o := &occurrence{job: j, number: number, due: j.due.of(number)}
	firstTask := number * j.tasksPerOccurrence()
	for i := range j.spec.Steps {
		s := &step{occ: o, index: i, spec: &j.spec.Steps[i], name: stepName(j.spec.ID, number, i), firstTask: firstTask,
			chainTime: j.chainTimes[i]}
		firstTask += s.spec.Count
		s.tasks = make([]*task, s.spec.Count)
		block := make([]task, s.spec.Count)
		for n := range block {
			block[n] = task{step: s, index: n, name: s.name + "." + strconv.Itoa(n)}
			s.tasks[n] = &block[n]
		}
		o.steps = append(o.steps, s)
	}
	i, _ := j.findOpen(number)
	j.open = slices.Insert(j.open, i, o)
	e.jobMemory.opened(j)
	return o
}

// openDue opens the occurrences of j that are due, as far as their tasks fit into the
// memory of all jobs. The others stay due, and are opened when tasks of others are done.
func (e *Engine) openDue(j *job, now time.Duration) {
	for n := j.spec.Occurrences(); j.nextDue < n; j.nextDue++ {
		if j.done.has(j.nextDue) {
			continue
		}
		if _, open := j.findOpen(j.nextDue); open {
			continue
		}
		due := j.due.of(j.nextDue)
		if now < due {
			return
		}
		if !e.jobMemory.canOpen(j, e.cfg.MaxJobBytes) {
			if now-j.waitLoggedAt > waitLogInterval {
				j.waitLoggedAt = now
				e.log.Warn().Str("event", "occurrence_waits").Str("job", j.spec.ID).Int("occurrence", j.nextDue).
					Int64("late_ms", (now-due).Milliseconds()).Int("open", len(j.open)).Int64("bytes", j.size.occurrence).
					Int64("used", e.jobMemory.used()).Int64("limit", e.cfg.MaxJobBytes).Send()
			}
			return
		}
		e.openOccurrence(j, j.nextDue)
	}
}

// closeOccurrence forgets the tasks of an occurrence that are all done. That of a job
// that is not periodic stays until the end of its job is stored.
func (e *Engine) closeOccurrence(o *occurrence) {
	j := o.job
	j.done.add(o.number)
	if i, open := j.findOpen(o.number); open && j.spec.Repeat > 0 {
		j.open = slices.Delete(j.open, i, i+1)
		e.jobMemory.closed(j)
	}
}
