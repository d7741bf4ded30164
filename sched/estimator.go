package sched

import (
	"slices"
	"time"
)

const (
	// ratioLearningRate is the weight of one finished task in the learned ratio of real
	// to declared run time of a queue.
	ratioLearningRate = 0.02
	// runTimeLearningRate is the weight of one finished task in the learned relative run
	// time of a machine. Tasks of a step differ in work by up to a third.
	runTimeLearningRate = 0.15
	// maxRunTimeRatio bounds each ratio that is learned from, and its inverse.
	maxRunTimeRatio = 3.0
)

// runTimeEstimator learns for each queue how real run times relate to declared ones.
type runTimeEstimator struct {
	ratioByQueue map[string]float64     // real / declared, by the name of the queue
	fits         map[string]*runTimeFit // by the name of the queue; empty unless the engine sheds load
}

func newRunTimeEstimator() runTimeEstimator {
	return runTimeEstimator{ratioByQueue: make(map[string]float64), fits: make(map[string]*runTimeFit)}
}

// expected returns the expected run time of one task of the step, 0 if it is persistent.
func (e *runTimeEstimator) expected(q *Queue, s *Step) time.Duration {
	if s.Persistent {
		return 0
	}
	if f := e.fits[q.Name]; f != nil && f.n >= minFitSteps && s.Estimate > 0 {
		return f.expected(s.Estimate)
	}
	ratio, ok := e.ratioByQueue[q.Name]
	if !ok {
		ratio = 1
	}
	return time.Duration(float64(s.Estimate) * ratio)
}

// learn takes the run time of a finished task into account, unless the task is persistent
// or has no declared run time.
func (e *runTimeEstimator) learn(s *step, runTime time.Duration) {
	if s.spec.Estimate <= 0 || s.spec.Persistent {
		return
	}
	q := s.occ.job.queue
	ratio := float64(runTime) / float64(s.spec.Estimate)
	ratio = min(max(ratio, 1/maxRunTimeRatio), maxRunTimeRatio)
	learned, ok := e.ratioByQueue[q.Name]
	if !ok {
		learned = 1
	}
	e.ratioByQueue[q.Name] = learned + ratioLearningRate*(ratio-learned)
}

// learnMachineRunTimes learns the relative run times of machines from a finished step.
// Its tasks differ little in work, while declared run times are far off. Gangs, persistent
// steps and steps that ran on a single machine are left out.
func learnMachineRunTimes(s *step) {
	if s.spec.Gang || s.spec.Persistent {
		return
	}
	var runTimes []time.Duration
	machines := make(map[*machineState]bool)
	for _, t := range s.tasks {
		if t.runTime > 0 && t.ranOn != nil {
			runTimes = append(runTimes, t.runTime)
			machines[t.ranOn] = true
		}
	}
	if len(machines) < 2 {
		return
	}
	slices.Sort(runTimes)
	median := runTimes[len(runTimes)/2]
	for _, t := range s.tasks {
		if t.runTime == 0 || t.ranOn == nil {
			continue
		}
		relative := min(max(float64(t.runTime)/float64(median), 1/maxRunTimeRatio), maxRunTimeRatio)
		m := t.ranOn
		if m.relativeRunTime == 0 {
			m.relativeRunTime = 1
		}
		m.relativeRunTime += runTimeLearningRate * (relative - m.relativeRunTime)
	}
}
