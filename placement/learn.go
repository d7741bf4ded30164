package placement

import (
	"math"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

type familyKey struct{ team, name string }

// family is what was learned about the jobs of one family.
//
// Sizes are learned as a share of the declaration, because the jobs of a family
// often differ in size while their declarations are wrong by a similar factor.
// Run times are learned as a share where one was declared, else in milliseconds.
type family struct {
	cpu, memory      histogram // permille of the declared size
	runShare, runAbs histogram
	shapes           []*shape
	fresh            int // reports since the estimates were last applied
}

// applyEvery is the number of reports after which changed estimates are applied
// to waiting jobs.
const applyEvery = 8

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

// ReportUsage reports the current usage of a running task; the peak is learned when it
// ends. Decisions never go by current usage, which lags.
func (e *Engine) ReportUsage(id string, attempt int, used machine.Resources) {
	if t := e.find(id, attempt); t != nil {
		t.peak = maxOf(t.peak, used)
	}
}

// observe learns from the end of t. A failed or stopped task tells its size, but
// not how long a whole run takes.
func (e *Engine) observe(t *task, r TaskResult) {
	peak := maxOf(t.peak, r.Used)
	t.peak = machine.Resources{}
	f := e.familyOf(t.job.team.name, t.job.spec.Family)
	if f == nil || t.job.stub {
		return
	}
	if r.State == workload.Finished || r.State == workload.Failed {
		f.cpu.addShare(peak.CPUMilli, t.job.spec.Resources.CPUMilli)
		f.memory.addShare(peak.MemoryMiB, t.job.spec.Resources.MemoryMiB)
	}
	if r.State == workload.Finished && r.Ran > 0 && t.job.spec.Kind != workload.Service {
		if declared := t.job.spec.RunTime; declared > 0 {
			f.runShare.addShare(int64(r.Ran), int64(declared))
		} else {
			f.runAbs.add(r.Ran.Seconds() * 1000)
		}
	}
	if f.fresh++; f.fresh >= applyEvery {
		f.fresh = 0
		e.apply(f)
	}
}

// apply recomputes the shapes of f and wakes those whose size fell.
func (e *Engine) apply(f *family) {
	for _, s := range f.shapes {
		need, run := s.need, s.run
		e.estimate(s)
		if s.need != need || s.run != run {
			e.check(s)
			if s.doomed.IsZero() {
				e.unblock(s)
			}
		}
	}
}

// size returns the learned size of a task, and false while it is unknown.
// Accelerators are whole devices and are never learned.
func (f *family) size(c *Config, declared machine.Resources) (machine.Resources, bool) {
	if f.cpu.count < c.MinSamples && f.memory.count < c.MinSamples {
		return machine.Resources{}, false
	}
	est := func(h *histogram, declared int64) int64 {
		if declared <= 0 || h.count < c.MinSamples {
			return declared
		}
		share := h.percentile(c.SizePercentile) / 1000
		if share <= 1 {
			// The margin does not take a sufficient declaration beyond itself.
			share = min(share*(1+c.SizeMargin), 1)
		} else {
			share *= 1 + c.SizeMargin
		}
		// A very small estimate is raised, because reports of short tasks miss
		// their peaks.
		return max(int64(math.Ceil(share*float64(declared))), declared/minLearned, 1)
	}
	return machine.Resources{
		CPUMilli: est(&f.cpu, declared.CPUMilli), MemoryMiB: est(&f.memory, declared.MemoryMiB),
		Accelerators: declared.Accelerators,
	}, true
}

// minLearned is the divisor of the declared size below which no estimate goes.
const minLearned = 10

// runTime returns the learned run time of a task, and false while it is unknown.
func (f *family) runTime(c *Config, declared time.Duration) (time.Duration, bool) {
	h, unit := &f.runAbs, float64(time.Millisecond)
	if declared > 0 {
		h, unit = &f.runShare, float64(declared)/1000
	}
	if h.count < c.MinSamples {
		return 0, false
	}
	return time.Duration(h.percentile(c.RunTimePercentile) * (1 + c.RunTimeMargin) * unit), true
}

// expected returns the learned, else the declared run time of a job.
func (e *Engine) expected(spec *workload.Job) time.Duration {
	if f := e.families[familyKey{spec.Team, spec.Family}]; f != nil && !e.cfg.NoLearning {
		if run, ok := f.runTime(&e.cfg, spec.RunTime); ok {
			return run
		}
	}
	return spec.RunTime
}

// histogram holds positive values in buckets that grow by 5 %. Each value
// weighs more than the one before, so that after halfLife values an old one
// counts half.
type histogram struct {
	weights [histBuckets]float64
	total   float64
	next    float64 // weight of the next value; 0 means 1
	count   int
}

const (
	histBuckets = 400 // up to 1.05^400, about 3e8
	histGrowth  = 1.05
	halfLife    = 200
	maxWeight   = 1e9
)

var (
	logGrowth = math.Log(histGrowth)
	decayStep = math.Exp2(1.0 / halfLife)
)

// addShare adds v as permille of declared, if both are known.
func (h *histogram) addShare(v, declared int64) {
	if v > 0 && declared > 0 {
		h.add(1000 * float64(v) / float64(declared))
	}
}

func (h *histogram) add(v float64) {
	if h.next == 0 {
		h.next = 1
	}
	i := 0
	if v > 1 {
		i = min(int(math.Ceil(math.Log(v)/logGrowth)), histBuckets-1)
	}
	h.weights[i] += h.next
	h.total += h.next
	h.next *= decayStep
	h.count++
	if h.next > maxWeight {
		for i := range h.weights {
			h.weights[i] /= maxWeight
		}
		h.total /= maxWeight
		h.next /= maxWeight
	}
}

// percentile returns the upper bound of the bucket that holds the percentile p.
func (h *histogram) percentile(p float64) float64 {
	rest := h.total * p
	for i, w := range h.weights {
		if rest -= w; rest <= 1e-9*h.total {
			return math.Pow(histGrowth, float64(i))
		}
	}
	return math.Pow(histGrowth, histBuckets-1)
}
