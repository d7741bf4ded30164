package sched

import "time"

const (
	// minFitSteps is the number of steps from which on the fit of a queue is used. It is that of a
	// few seconds of the rarest kind of job, 4 a second.
	minFitSteps = 16
	// maxFitSteps bounds the steps that a fit remembers, so that it follows a change of the load.
	maxFitSteps = 300
	// maxFitRatio bounds a real run time relative to the mean of the queue. A longer one says more about
	// a slow machine, on which the other members of a gang wait for one, than about the work.
	maxFitRatio = 2.5
)

// runTimeFit is the linear regression of the real run times of the steps of a queue on the declared
// ones, in seconds. The less the declared run times say about the real ones, the nearer the expected
// run time is to the mean of the queue.
type runTimeFit struct {
	n                  float64
	declared, real     float64 // means
	variance, together float64 // variance of the declared ones, covariance
}

func (f *runTimeFit) add(declared, real float64) {
	if f.n >= minFitSteps {
		real = min(real, maxFitRatio*f.real)
	}
	f.n = min(f.n+1, maxFitSteps)
	w := 1 / f.n
	dx, dy := declared-f.declared, real-f.real
	f.declared += w * dx
	f.real += w * dy
	f.variance = (1 - w) * (f.variance + w*dx*dx)
	f.together = (1 - w) * (f.together + w*dx*dy)
}

// expected returns the run time of a step with this declared run time.
func (f *runTimeFit) expected(declared time.Duration) time.Duration {
	x, slope := declared.Seconds(), 0.0
	if f.variance > 0 {
		slope = min(max(f.together/f.variance, 0), maxRunTimeRatio)
	}
	lowest := x / maxRunTimeRatio
	if f.declared > 0 {
		lowest = min(lowest, f.real/maxRunTimeRatio)
	}
	return time.Duration(max(f.real+slope*(x-f.declared), lowest) * float64(time.Second))
}

// fit takes the run time of the last task of a finished step into account.
func (e *runTimeEstimator) fit(s *step, runTime time.Duration) {
	if s.spec.Estimate <= 0 || s.spec.Persistent || (!s.spec.Gang && s.doneTasks < len(s.tasks)-1) || (s.spec.Gang && s.doneTasks > 0) {
		return
	}
	name := s.occ.job.queue.Name
	f := e.fits[name]
	if f == nil {
		f = &runTimeFit{}
		e.fits[name] = f
	}
	f.add(s.spec.Estimate.Seconds(), runTime.Seconds())
}
