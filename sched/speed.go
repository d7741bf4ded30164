package sched

import (
	"slices"
	"time"
)

const (
	// ratioWeight is the weight of one finished task in the learned ratio of real
	// to declared run time of a queue.
	ratioWeight = 0.02
	// speedWeight is the weight of one finished task in the learned speed of a
	// machine. Tasks of a step differ in work by up to a third.
	speedWeight = 0.15
	// speedSpan bounds the learned speed factor of a machine.
	speedSpan = 3.0
)

// speedBook learns how declared run times relate to real ones.
type speedBook struct {
	ratio map[string]float64 // queue to real / declared
}

func newSpeedBook() speedBook { return speedBook{ratio: make(map[string]float64)} }

// expected returns the expected run time of one task of the step.
func (b *speedBook) expected(q *Queue, s *Step) time.Duration {
	if s.Persistent {
		return 0
	}
	r, ok := b.ratio[q.Name]
	if !ok {
		r = 1
	}
	return time.Duration(float64(s.Estimate) * r)
}

// learn takes the run time of a finished task into account.
func (b *speedBook) learn(s *step, took time.Duration) {
	if s.spec.Estimate <= 0 || s.spec.Persistent {
		return
	}
	q := s.occ.job.queue
	seen := float64(took) / float64(s.spec.Estimate)
	seen = min(max(seen, 1/speedSpan), speedSpan)
	r, ok := b.ratio[q.Name]
	if !ok {
		r = 1
	}
	b.ratio[q.Name] = r + ratioWeight*(seen-r)
}

// compareMachines learns the relative speed of machines from a finished step. Its
// tasks differ little in work, while declared run times are far off.
func compareMachines(s *step) {
	if s.spec.Gang || s.spec.Persistent {
		return
	}
	var times []time.Duration
	machines := make(map[*machineState]bool)
	for _, t := range s.tasks {
		if t.took > 0 && t.ranOn != nil {
			times = append(times, t.took)
			machines[t.ranOn] = true
		}
	}
	if len(machines) < 2 {
		return
	}
	slices.Sort(times)
	median := times[len(times)/2]
	for _, t := range s.tasks {
		if t.took == 0 || t.ranOn == nil {
			continue
		}
		rel := min(max(float64(t.took)/float64(median), 1/speedSpan), speedSpan)
		m := t.ranOn
		if m.pace == 0 {
			m.pace = 1
		}
		m.pace += speedWeight * (rel - m.pace)
	}
}
