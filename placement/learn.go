package placement

import (
	"math"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// familyKey identifies a family: a name that a team gives to jobs that are alike.
type familyKey struct{ team, name string }

// family is what was learned about the jobs of one family.
//
// Sizes are learned as a share of the declared size, because the jobs of a family
// often differ in size while their declarations are wrong by a similar factor. Run
// times are learned as a share of the declared run time, else in milliseconds.
type family struct {
	cpuShare, memoryShare       histogram // permille of the declared size
	runTimeShare, runTimeMillis histogram // permille of the declared run time; milliseconds where none was declared
	shapes                      []*shape  // of waiting jobs
	reportsSinceApply           int       // ended tasks since the estimates were last applied
}

// applyAfterReports is the number of ended tasks of a family after which changed
// estimates are applied to waiting jobs.
const applyAfterReports = 8

// familyOf returns the family of a team by its name, which it creates if needed. It
// returns nil for an empty name.
func (e *Engine) familyOf(team, name string) *family {
	if name == "" {
		return nil
	}
	k := familyKey{team, name}
	f := e.families[k]
	if f == nil {
		f = &family{}
		e.families[k] = f
	}
	return f
}

// ReportUsage records the current usage of a running task. When the task ends, the
// peak is used to learn the size of its family. Placement decisions do not depend on
// current usage, because the reports of it are late.
func (e *Engine) ReportUsage(id string, attempt int, used machine.Resources) {
	if t := e.findPlaced(id, attempt); t != nil {
		t.peakUsage = maxResources(t.peakUsage, used)
	}
}

// learnFrom learns from the end of t. Sizes are learned from finished and failed
// tasks, run times only from finished ones, because a failed task does not tell how
// long a whole run takes.
func (e *Engine) learnFrom(t *task, r TaskResult) {
	peak := maxResources(t.peakUsage, r.Used)
	t.peakUsage = machine.Resources{}
	f := e.familyOf(t.job.team.name, t.job.spec.Family)
	if f == nil || t.job.adoptedOnly {
		return
	}
	if r.State == workload.Finished || r.State == workload.Failed {
		f.cpuShare.addShare(peak.CPUMilli, t.job.spec.Resources.CPUMilli)
		f.memoryShare.addShare(peak.MemoryMiB, t.job.spec.Resources.MemoryMiB)
	}
	if r.State == workload.Finished && r.Ran > 0 && t.job.spec.Kind != workload.Service {
		if declared := t.job.spec.RunTime; declared > 0 {
			f.runTimeShare.addShare(int64(r.Ran), int64(declared))
		} else {
			f.runTimeMillis.add(r.Ran.Seconds() * 1000)
		}
	}
	if f.reportsSinceApply++; f.reportsSinceApply >= applyAfterReports {
		f.reportsSinceApply = 0
		e.applyEstimates(f)
	}
}

// applyEstimates recomputes the estimates of the shapes of f. It unblocks those whose
// estimates changed, unless they are impossible.
func (e *Engine) applyEstimates(f *family) {
	for _, s := range f.shapes {
		size, runTime := s.need, s.expectedRunTime
		e.setEstimates(s)
		if s.need != size || s.expectedRunTime != runTime {
			e.updateImpossible(s)
			if s.impossibleSince.IsZero() {
				e.unblock(s)
			}
		}
	}
}

// learnedSize returns the learned size of a task with a declared size, and false
// while too few tasks have ended. Accelerators are whole devices and not learned.
func (f *family) learnedSize(c *Config, declared machine.Resources) (machine.Resources, bool) {
	if f.cpuShare.count < c.MinSamples && f.memoryShare.count < c.MinSamples {
		return machine.Resources{}, false
	}
	estimate := func(shares *histogram, declared int64) int64 {
		if declared <= 0 || shares.count < c.MinSamples {
			return declared
		}
		share := shares.quantile(c.SizePercentile) / 1000
		if share <= 1 {
			// If the declared size has sufficed, the margin does not raise the
			// estimate above it.
			share = min(share*(1+c.SizeMargin), 1)
		} else {
			share *= 1 + c.SizeMargin
		}
		// Very small estimates are raised, because the usage reports of short tasks
		// miss their peaks.
		return max(int64(math.Ceil(share*float64(declared))), declared/maxShrinkFactor, 1)
	}
	return machine.Resources{
		CPUMilli: estimate(&f.cpuShare, declared.CPUMilli), MemoryMiB: estimate(&f.memoryShare, declared.MemoryMiB),
		Accelerators: declared.Accelerators,
	}, true
}

// maxShrinkFactor bounds learned sizes: they are at least the declared size divided
// by it.
const maxShrinkFactor = 10

// learnedRunTime returns the learned run time of a task with a declared run time,
// where 0 means that none is declared, and false while too few tasks have finished.
func (f *family) learnedRunTime(c *Config, declared time.Duration) (time.Duration, bool) {
	runTimes, unit := &f.runTimeMillis, float64(time.Millisecond)
	if declared > 0 {
		runTimes, unit = &f.runTimeShare, float64(declared)/1000
	}
	if runTimes.count < c.MinSamples {
		return 0, false
	}
	return time.Duration(runTimes.quantile(c.RunTimePercentile) * (1 + c.RunTimeMargin) * unit), true
}

// expectedRunTime returns the learned run time of a task of the job, else the declared
// one, which is 0 if there is none.
func (e *Engine) expectedRunTime(spec *workload.Job) time.Duration {
	if f := e.families[familyKey{spec.Team, spec.Family}]; f != nil && !e.cfg.NoLearning {
		if runTime, ok := f.learnedRunTime(&e.cfg, spec.RunTime); ok {
			return runTime
		}
	}
	return spec.RunTime
}

// histogram holds positive values in buckets whose bounds grow by 5 %. Each value
// weighs more than the one before, so that a value counts half as much as another
// that is added histHalfLife values later.
type histogram struct {
	weights     [histBuckets]float64
	totalWeight float64
	nextWeight  float64 // weight of the next value; 0 means 1
	count       int     // values added
}

const (
	histBuckets      = 400  // the last bound is about 1.05^400, 3e8
	histBucketGrowth = 1.05 // upper bound of a bucket divided by that of the bucket before
	histHalfLife     = 200  // values
	histMaxWeight    = 1e9  // all weights are divided by this when the next value's exceeds it
)

var (
	logBucketGrowth  = math.Log(histBucketGrowth)
	histWeightGrowth = math.Exp2(1.0 / histHalfLife) // weight of a value divided by that of the value before
)

// addShare adds value as permille of declared, if both are positive.
func (h *histogram) addShare(value, declared int64) {
	if value > 0 && declared > 0 {
		h.add(1000 * float64(value) / float64(declared))
	}
}

// add adds one value. Values up to 1 go into the first bucket.
func (h *histogram) add(value float64) {
	if h.nextWeight == 0 {
		h.nextWeight = 1
	}
	i := 0
	if value > 1 {
		i = min(int(math.Ceil(math.Log(value)/logBucketGrowth)), histBuckets-1)
	}
	h.weights[i] += h.nextWeight
	h.totalWeight += h.nextWeight
	h.nextWeight *= histWeightGrowth
	h.count++
	if h.nextWeight > histMaxWeight {
		for i := range h.weights {
			h.weights[i] /= histMaxWeight
		}
		h.totalWeight /= histMaxWeight
		h.nextWeight /= histMaxWeight
	}
}

// quantile returns the upper bound of the bucket up to which a share q, between 0 and
// 1, of the weight lies.
func (h *histogram) quantile(q float64) float64 {
	remaining := h.totalWeight * q
	for i, w := range h.weights {
		if remaining -= w; remaining <= 1e-9*h.totalWeight { // the tolerance covers rounding errors
			return math.Pow(histBucketGrowth, float64(i))
		}
	}
	return math.Pow(histBucketGrowth, histBuckets-1)
}
