package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// mix is a seeded input for the engine and the baselines.
type mix struct {
	name  string
	nodes []Node
	in    []arrival
}

type mixer struct {
	*rand.Rand
	in []arrival
}

func newMixer(seed uint64) *mixer { return &mixer{Rand: rand.New(rand.NewPCG(seed, 99))} }

func (m *mixer) between(a, b float64) float64 { return a + m.Float64()*(b-a) }

// exp returns an exponential time with the given mean, at most eight times it.
func (m *mixer) exp(mean time.Duration) time.Duration {
	return time.Duration(min(m.ExpFloat64(), 8)*float64(mean)) + time.Millisecond
}

// about returns 0.3 to 1.7 times the mean, and for one in fifty tasks five times it.
func (m *mixer) about(mean time.Duration) time.Duration {
	if m.IntN(50) == 0 {
		return 5 * mean
	}
	return time.Duration(m.between(0.3, 1.7)*float64(mean)) + time.Millisecond
}

// add appends a job whose real size is the declared one times real, and whose
// real run times are around mean.
func (m *mixer) add(at time.Duration, class string, j workload.Job, real float64, mean time.Duration) {
	j.ID = fmt.Sprintf("%s-%d", class, len(m.in))
	a := arrival{at: at, class: class, job: j, size: machine.Resources{
		CPUMilli:     int64(math.Ceil(float64(j.Resources.CPUMilli) * real)),
		MemoryMiB:    int64(math.Ceil(float64(j.Resources.MemoryMiB) * real)),
		Accelerators: j.Resources.Accelerators}}
	for range j.Count {
		a.run = append(a.run, m.about(mean))
	}
	if j.Kind == workload.Gang {
		// Members wait for each other and end together.
		for i := range a.run {
			a.run[i] = a.run[0]
		}
	}
	m.in = append(m.in, a)
}

var ritagliZones = []string{"lom-bergamo", "lom-monza", "ven-treviso"}
var ortaqZones = []string{"almaty-a", "almaty-b", "astana-a"}

// shortMix has short services and batches in waves above and below the capacity
// of the first deployment. Families declare 1.3 to 2.5 times what they use, and
// run times up to three times too short or too long.
func shortMix(seed uint64, wave time.Duration) mix {
	m := newMixer(seed)
	type fam struct {
		name       string
		cpu, mem   int64
		over, rate float64
		run        time.Duration
	}
	var fams []fam
	for i := range 12 {
		fams = append(fams, fam{name: fmt.Sprintf("f%d", i), cpu: 250 * int64(1+m.IntN(8)), mem: 256 * int64(1+m.IntN(16)),
			over: m.between(1.3, 2.5), rate: m.between(0.33, 3), run: time.Duration(m.between(0.4, 6) * float64(time.Second))})
	}
	for at := time.Duration(0); at < 6*wave; {
		load := 0.8
		if int(at/wave)%2 == 0 {
			load = 2
		}
		f := fams[m.IntN(len(fams))]
		j := workload.Job{Team: fmt.Sprintf("t%d", m.IntN(6)), Family: f.name, Kind: workload.Batch, Count: 1 + m.IntN(8),
			Resources: machine.Resources{CPUMilli: f.cpu, MemoryMiB: f.mem}, Priority: workload.Normal,
			RunTime: time.Duration(float64(f.run) * f.rate), Retries: 5, Preempt: true}
		class, mean := "batch", f.run
		switch m.IntN(10) {
		case 0, 1:
			class, j.Kind, j.Family, j.Preempt, j.RunTime = "service", workload.Service, "", false, 0
			j.Count = 1 + m.IntN(3)
			mean = 8 * time.Second
		case 2:
			class, j.Priority, j.Count, j.Preempt = "urgent", workload.Urgent, 1, false
		}
		m.add(at, class, j, 1/f.over, mean)
		vol := dominantShare(j.Resources, machine.Resources{CPUMilli: 48 * 16_000, MemoryMiB: 48 * 32_768}) *
			float64(j.Count) * mean.Seconds()
		at += time.Duration(m.ExpFloat64() * vol / load * float64(time.Second))
	}
	return mix{"short", workers(48, 8, ritagliZones, machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}), m.in}
}

// duesMix has the monthly batches of 30 clubs at once, each with a deadline and
// a grace window, and single tasks that arrive meanwhile.
func duesMix(seed uint64, tasks int) mix {
	m := newMixer(seed)
	for i := range 30 {
		n := 1 + int(float64(tasks)/30*m.between(0.3, 1.7))
		mean := time.Duration(m.between(5, 30) * float64(time.Second))
		j := workload.Job{Team: fmt.Sprintf("club%d", i%10), Family: fmt.Sprintf("dues%d", i%10), Kind: workload.Batch, Count: n,
			Resources: machine.Resources{CPUMilli: 1000 * int64(1+m.IntN(4)), MemoryMiB: 1024 * int64(2+m.IntN(14))},
			Priority:  workload.Normal, RunTime: time.Duration(float64(mean) * m.between(0.5, 2)), Preempt: true, Retries: 5,
			Deadline: start.Add(time.Duration(m.between(3, 9) * float64(time.Minute))), Grace: time.Minute}
		m.add(time.Duration(m.IntN(2000))*time.Millisecond, "dues", j, 1/m.between(1.2, 2.2), mean)
	}
	for at := time.Duration(0); at < 5*time.Minute; at += m.exp(200 * time.Millisecond) {
		j := workload.Job{Team: fmt.Sprintf("club%d", m.IntN(10)), Family: "single", Kind: workload.Batch, Count: 1,
			Resources: machine.Resources{CPUMilli: 500, MemoryMiB: 1024}, Priority: workload.High, RunTime: time.Second, Retries: 3}
		m.add(at, "single", j, 0.7, time.Second)
	}
	return mix{"dues", workers(48, 8, ortaqZones, machine.Resources{CPUMilli: 64_000, MemoryMiB: 262_144}), m.in}
}

// hardMix hurts: gangs of up to two thirds of the cell and whole-worker tasks
// under a stream of small tasks, tasks that need mostly processors or mostly
// memory, six accelerator workers, urgent work in a full cell, and jobs that can
// never run.
func hardMix(seed uint64, span time.Duration) mix {
	m := newMixer(seed)
	nodes := workers(48, 8, ritagliZones, machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768})
	for i := range 6 {
		nodes[i*8].Total.Accelerators = 4
	}
	for at := time.Duration(0); at < span; at += m.exp(55 * time.Millisecond) {
		skew := int64(1 + m.IntN(4))
		j := workload.Job{Team: fmt.Sprintf("t%d", m.IntN(5)), Kind: workload.Batch, Count: 1 + m.IntN(6),
			Family: fmt.Sprintf("small%d", skew), Priority: workload.Normal, Preempt: true, Retries: 5,
			Resources: machine.Resources{CPUMilli: 500 * skew, MemoryMiB: 4096 / skew}, RunTime: 6 * time.Second}
		class, mean := "small", 5*time.Second
		switch k := m.IntN(400); {
		case k == 0:
			class, mean = "gang", 10*time.Second
			j.Kind, j.Count, j.Family, j.Preempt, j.RunTime = workload.Gang, 16+m.IntN(49), "train", false, 20*time.Second
			j.Resources = machine.Resources{CPUMilli: 8000, MemoryMiB: 12_288}
		case k < 9:
			class, j.Count, j.Family, mean = "whole", 1, "whole", 10*time.Second
			j.Resources = machine.Resources{CPUMilli: 16_000, MemoryMiB: 24_576}
			j.RunTime = 15 * time.Second
		case k < 23:
			class, j.Count, j.Family, mean = "accel", 1, "accel", 8*time.Second
			j.Resources.Accelerators = 1 + m.Int64N(2)
		case k < 39:
			class, j.Count, j.Priority, j.Preempt = "urgent", 1, workload.Urgent, false
		case k < 47:
			class, j.Count = "never", 1
			j.Resources.MemoryMiB = 65_536
		}
		m.add(at, class, j, 1/m.between(1.1, 2), mean)
	}
	return mix{"hard", nodes, m.in}
}

// churnMix fills a large cell and keeps it full with single tasks and services.
func churnMix(n int, seed uint64) mix {
	m := newMixer(seed)
	per := machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}
	for i := range n * 3 {
		cpu := 500 * int64(1+m.IntN(8))
		j := workload.Job{Team: fmt.Sprintf("t%d", m.IntN(20)), Kind: workload.Batch, Count: 1 + m.IntN(7), Priority: workload.Normal,
			Resources: machine.Resources{CPUMilli: cpu, MemoryMiB: 512 * int64(1+m.IntN(16))}, RunTime: 30 * time.Second, Preempt: true}
		class := "batch"
		if i%5 == 0 {
			class, j.Kind, j.Preempt = "service", workload.Service, false
		}
		m.add(time.Duration(i)*20*time.Second/time.Duration(n), class, j, 0.8, 30*time.Second)
	}
	return mix{fmt.Sprintf("churn%d", n), workers(n, 16, ritagliZones, per), m.in}
}
