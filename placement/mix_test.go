package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// mix is an input for the engine and the baselines: workers, and the jobs that are
// submitted to them. The same seed gives the same mix.
type mix struct {
	name     string
	nodes    []Node
	arrivals []arrival
}

// mixBuilder draws the jobs of a mix.
type mixBuilder struct {
	*rand.Rand
	arrivals []arrival
}

func newMixBuilder(seed uint64) *mixBuilder {
	return &mixBuilder{Rand: rand.New(rand.NewPCG(seed, 99))}
}

// uniform returns a number between a and b.
func (m *mixBuilder) uniform(a, b float64) float64 { return a + m.Float64()*(b-a) }

// exponential returns an exponentially distributed time with the given mean, cut to
// eight times the mean, plus 1 ms.
func (m *mixBuilder) exponential(mean time.Duration) time.Duration {
	return time.Duration(min(m.ExpFloat64(), 8)*float64(mean)) + time.Millisecond
}

// runTimeAround returns 0.3 to 1.7 times the mean, or for one task in fifty five times
// the mean.
func (m *mixBuilder) runTimeAround(mean time.Duration) time.Duration {
	if m.IntN(50) == 0 {
		return 5 * mean
	}
	return time.Duration(m.uniform(0.3, 1.7)*float64(mean)) + time.Millisecond
}

// addJob appends a job of which each task really uses the declared size times real, and
// runs for a time around mean.
func (m *mixBuilder) addJob(at time.Duration, class string, j workload.Job, real float64, mean time.Duration) {
	j.ID = fmt.Sprintf("%s-%d", class, len(m.arrivals))
	a := arrival{at: at, class: class, job: j, peak: machine.Resources{
		CPUMilli:     int64(math.Ceil(float64(j.Resources.CPUMilli) * real)),
		MemoryMiB:    int64(math.Ceil(float64(j.Resources.MemoryMiB) * real)),
		Accelerators: j.Resources.Accelerators}}
	for range j.Count {
		a.runTimes = append(a.runTimes, m.runTimeAround(mean))
	}
	if j.Kind == workload.Gang {
		// The tasks of a gang wait for each other and end together.
		for i := range a.runTimes {
			a.runTimes[i] = a.runTimes[0]
		}
	}
	m.arrivals = append(m.arrivals, a)
}

// Zones of two deployments.
var italianZones = []string{"lom-bergamo", "lom-monza", "ven-treviso"}
var kazakhZones = []string{"almaty-a", "almaty-b", "astana-a"}

// shortMix has short services and batches, whose load is in turn above and below the
// capacity of the cell, each time for the duration wave. Families declare 1.3 to 2.5
// times the size that they use, and run times up to three times too short or too long.
func shortMix(seed uint64, wave time.Duration) mix {
	m := newMixBuilder(seed)
	type familySpec struct {
		name                        string
		cpu, mem                    int64         // declared, in thousandths of a core and MiB
		overDeclared, runTimeFactor float64       // declared size and run time divided by the real ones
		run                         time.Duration // mean real run time
	}
	var families []familySpec
	for i := range 12 {
		families = append(families, familySpec{name: fmt.Sprintf("f%d", i), cpu: 250 * int64(1+m.IntN(8)), mem: 256 * int64(1+m.IntN(16)),
			overDeclared: m.uniform(1.3, 2.5), runTimeFactor: m.uniform(0.33, 3), run: time.Duration(m.uniform(0.4, 6) * float64(time.Second))})
	}
	for at := time.Duration(0); at < 6*wave; {
		load := 0.8
		if int(at/wave)%2 == 0 {
			load = 2
		}
		f := families[m.IntN(len(families))]
		j := workload.Job{Team: fmt.Sprintf("t%d", m.IntN(6)), Family: f.name, Kind: workload.Batch, Count: 1 + m.IntN(8),
			Resources: machine.Resources{CPUMilli: f.cpu, MemoryMiB: f.mem}, Priority: workload.Normal,
			RunTime: time.Duration(float64(f.run) * f.runTimeFactor), Retries: 5, Preemptible: true}
		class, mean := "batch", f.run
		switch m.IntN(10) {
		case 0, 1:
			class, j.Kind, j.Family, j.Preemptible, j.RunTime = "service", workload.Service, "", false, 0
			j.Count = 1 + m.IntN(3)
			mean = 8 * time.Second
		case 2:
			class, j.Priority, j.Count, j.Preemptible = "urgent", workload.Urgent, 1, false
		}
		m.addJob(at, class, j, 1/f.overDeclared, mean)
		volume := dominantShare(j.Resources, machine.Resources{CPUMilli: 48 * 16_000, MemoryMiB: 48 * 32_768}) *
			float64(j.Count) * mean.Seconds()
		at += time.Duration(m.ExpFloat64() * volume / load * float64(time.Second))
	}
	return mix{"short", newWorkers(48, 8, italianZones, machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}), m.arrivals}
}

// duesMix has 30 monthly batches of 10 clubs, all submitted within two seconds and each
// with a deadline and a grace window, and single tasks that arrive meanwhile. The
// batches have about the given number of tasks in total.
func duesMix(seed uint64, tasks int) mix {
	m := newMixBuilder(seed)
	for i := range 30 {
		n := 1 + int(float64(tasks)/30*m.uniform(0.3, 1.7))
		mean := time.Duration(m.uniform(5, 30) * float64(time.Second))
		j := workload.Job{Team: fmt.Sprintf("club%d", i%10), Family: fmt.Sprintf("dues%d", i%10), Kind: workload.Batch, Count: n,
			Resources: machine.Resources{CPUMilli: 1000 * int64(1+m.IntN(4)), MemoryMiB: 1024 * int64(2+m.IntN(14))},
			Priority:  workload.Normal, RunTime: time.Duration(float64(mean) * m.uniform(0.5, 2)), Preemptible: true, Retries: 5,
			Deadline: startTime.Add(time.Duration(m.uniform(3, 9) * float64(time.Minute))), Grace: time.Minute}
		m.addJob(time.Duration(m.IntN(2000))*time.Millisecond, "dues", j, 1/m.uniform(1.2, 2.2), mean)
	}
	for at := time.Duration(0); at < 5*time.Minute; at += m.exponential(200 * time.Millisecond) {
		j := workload.Job{Team: fmt.Sprintf("club%d", m.IntN(10)), Family: "single", Kind: workload.Batch, Count: 1,
			Resources: machine.Resources{CPUMilli: 500, MemoryMiB: 1024}, Priority: workload.High, RunTime: time.Second, Retries: 3}
		m.addJob(at, "single", j, 0.7, time.Second)
	}
	return mix{"dues", newWorkers(48, 8, kazakhZones, machine.Resources{CPUMilli: 64_000, MemoryMiB: 262_144}), m.arrivals}
}

// hardMix is hard to place: gangs of up to two thirds of the cell and tasks as large as
// a worker among a stream of small tasks, tasks that need mostly processors or mostly
// memory, six workers with accelerators, urgent work in a full cell, and jobs that can
// never run.
func hardMix(seed uint64, span time.Duration) mix {
	m := newMixBuilder(seed)
	nodes := newWorkers(48, 8, italianZones, machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768})
	for i := range 6 {
		nodes[i*8].Total.Accelerators = 4
	}
	for at := time.Duration(0); at < span; at += m.exponential(55 * time.Millisecond) {
		skew := int64(1 + m.IntN(4))
		j := workload.Job{Team: fmt.Sprintf("t%d", m.IntN(5)), Kind: workload.Batch, Count: 1 + m.IntN(6),
			Family: fmt.Sprintf("small%d", skew), Priority: workload.Normal, Preemptible: true, Retries: 5,
			Resources: machine.Resources{CPUMilli: 500 * skew, MemoryMiB: 4096 / skew}, RunTime: 6 * time.Second}
		class, mean := "small", 5*time.Second
		switch k := m.IntN(400); {
		case k == 0:
			class, mean = "gang", 10*time.Second
			j.Kind, j.Count, j.Family, j.Preemptible, j.RunTime = workload.Gang, 16+m.IntN(49), "train", false, 20*time.Second
			j.Resources = machine.Resources{CPUMilli: 8000, MemoryMiB: 12_288}
		case k < 9:
			class, j.Count, j.Family, mean = "whole", 1, "whole", 10*time.Second
			j.Resources = machine.Resources{CPUMilli: 16_000, MemoryMiB: 24_576}
			j.RunTime = 15 * time.Second
		case k < 23:
			class, j.Count, j.Family, mean = "accel", 1, "accel", 8*time.Second
			j.Resources.Accelerators = 1 + m.Int64N(2)
		case k < 39:
			class, j.Count, j.Priority, j.Preemptible = "urgent", 1, workload.Urgent, false
		case k < 47:
			class, j.Count = "never", 1
			j.Resources.MemoryMiB = 65_536
		}
		m.addJob(at, class, j, 1/m.uniform(1.1, 2), mean)
	}
	return mix{"hard", nodes, m.arrivals}
}

// churnMix fills a cell of n workers and keeps it full with batches and services.
func churnMix(n int, seed uint64) mix {
	m := newMixBuilder(seed)
	total := machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}
	for i := range n * 3 {
		cpu := 500 * int64(1+m.IntN(8))
		j := workload.Job{Team: fmt.Sprintf("t%d", m.IntN(20)), Kind: workload.Batch, Count: 1 + m.IntN(7), Priority: workload.Normal,
			Resources: machine.Resources{CPUMilli: cpu, MemoryMiB: 512 * int64(1+m.IntN(16))}, RunTime: 30 * time.Second, Preemptible: true}
		class := "batch"
		if i%5 == 0 {
			class, j.Kind, j.Preemptible = "service", workload.Service, false
		}
		m.addJob(time.Duration(i)*20*time.Second/time.Duration(n), class, j, 0.8, 30*time.Second)
	}
	return mix{fmt.Sprintf("churn%d", n), newWorkers(n, 16, italianZones, total), m.arrivals}
}
