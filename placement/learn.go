package placement

import (
	"math"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

type familyKey struct{ team, name string }

// family is what was learned about the jobs of one family.
type family struct {
	cpu, memory, run histogram
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

// Usage reports the current usage of a running task; the peak is learned when it
// ends. Decisions never go by current usage, which lags.
func (e *Engine) Usage(id string, attempt int, used machine.Resources) {
	if t := e.find(id, attempt); t != nil {
		t.peak = maxOf(t.peak, used)
	}
}

// observe learns from the end of t. A failed or stopped task tells its size, but
// not how long a whole run takes.
func (e *Engine) observe(t *task, r Result) {
	peak := maxOf(t.peak, r.Used)
	t.peak = machine.Resources{}
	f := e.familyOf(t.job.team.name, t.job.spec.Family)
	if f == nil || t.job.stub {
		return
	}
	if r.State == workload.Finished || r.State == workload.Failed {
		if peak.CPUMilli > 0 && peak.MemoryMiB > 0 {
			f.cpu.add(float64(peak.CPUMilli))
			f.memory.add(float64(peak.MemoryMiB))
		}
	}
	if r.State == workload.Finished && r.Ran > 0 && t.job.spec.Kind != workload.Service {
		f.run.add(r.Ran.Seconds() * 1000)
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
	if f.cpu.count < c.MinSamples {
		return machine.Resources{}, false
	}
	est := func(h *histogram, declared int64) int64 {
		v := int64(math.Ceil(h.percentile(c.SizePercentile) * (1 + c.SizeMargin)))
		// A dimension that was not declared stays unclaimed; a very small estimate
		// is raised, because reports of short tasks miss their peaks.
		if declared <= 0 {
			return declared
		}
		return max(v, declared/minLearned, 1)
	}
	return machine.Resources{
		CPUMilli: est(&f.cpu, declared.CPUMilli), MemoryMiB: est(&f.memory, declared.MemoryMiB),
		Accelerators: declared.Accelerators,
	}, true
}

// minLearned is the divisor of the declared size below which no estimate goes.
const minLearned = 10

func (f *family) runTime(c *Config) (time.Duration, bool) {
	if f.run.count < c.MinSamples {
		return 0, false
	}
	return time.Duration(f.run.percentile(c.RunPercentile) * (1 + c.RunMargin) * float64(time.Millisecond)), true
}

// expected returns the learned, else the declared run time of a job.
func (e *Engine) expected(spec *workload.Job) time.Duration {
	if f := e.families[familyKey{spec.Team, spec.Family}]; f != nil && !e.cfg.NoLearning {
		if run, ok := f.runTime(&e.cfg); ok {
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
