package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
)

// pressure is the part of a load with tenants, several bursts, and callers that retry.
type pressure struct {
	tenants   []loadTenant
	bursts    []loadBurst
	callerRNG *rand.Rand // for the choice of tenants and the waits of callers
	retries   []retry
	machines  []badMachine
	lost      float64        // core-seconds of runs that did not end as done
	refusals  map[string]int // answers of Submit, by reason
	givenUp   int            // jobs that were refused maxCallerAttempts times
}

// maxCallerAttempts is how often a caller sends a job: once, and at most four more times
// when it is refused.
const maxCallerAttempts = 5

// loadTenant is a tenant with its share of the arrivals.
type loadTenant struct {
	Tenant
	share  float64 // of all jobs
	tokens float64 // jobs that it may send now within its rate
	seenAt time.Duration
}

// loadBurst multiplies the rate of a kind (-1 for all) of a tenant (-1 for all) for a time.
type loadBurst struct {
	kind, tenant int
	from, until  time.Duration
	factor       float64
}

// badMachine is a machine that is slow (factor above 1) or fails what it starts for a time.
type badMachine struct {
	id          string
	from, until time.Duration
	factor      float64
	fails       bool
}

// retry is a refused job that its caller sends again.
type retry struct {
	at      time.Duration
	job     Job
	attempt int
}

// rateFactor returns the factor by which bursts multiply the rate of a kind of a tenant now.
func (p *pressure) rateFactor(kind, tenant int, now time.Duration) float64 {
	factor := 1.0
	for _, b := range p.bursts {
		if (b.kind < 0 || b.kind == kind) && (b.tenant < 0 || b.tenant == tenant) && now >= b.from && now < b.until {
			factor *= b.factor
		}
	}
	return factor
}

// submitPressure submits the jobs that arrive in a tick.
func (l *loadSimulation) submitPressure(tick time.Duration) {
	p := l.pressure
	rates := make([]float64, len(p.tenants))
	for kind := range l.kinds {
		total := 0.0
		for t := range p.tenants {
			rates[t] = l.kinds[kind].rate * p.tenants[t].share * p.rateFactor(kind, t, l.now)
			total += rates[t]
		}
		for range poisson(l.arrivalRNG, total*tick.Seconds()) {
			job, lj := l.drawJob(kind)
			for x := p.callerRNG.Float64() * total; lj.tenant < len(rates)-1 && x >= rates[lj.tenant]; lj.tenant++ {
				x -= rates[lj.tenant]
			}
			t := &p.tenants[lj.tenant]
			job.Tenant = t.Name
			if t.Weight > 0 {
				t.tokens = min(t.tokens+t.Weight*(l.now-t.seenAt).Seconds(), max(t.Weight, 1))
				t.seenAt = l.now
				lj.beyondRate = t.tokens < 1
				if !lj.beyondRate {
					t.tokens--
				}
			}
			// Callers of these loads count the run time alone, not the calls of the advisor.
			q := &l.kinds[kind].queue
			lj.objective = l.now + q.Target + time.Duration(q.Stretch*float64(lj.runTime))
			l.jobs[job.ID] = lj
			l.send(job, 1)
		}
	}
}

// poisson draws the number of events in a time in which mean events are expected.
func poisson(rng *rand.Rand, mean float64) int {
	n, left := 0, math.Exp(-mean)
	for x := rng.Float64(); x > left; x *= rng.Float64() {
		n++
	}
	return n
}

// send submits a job. If it is refused, its caller waits as it is told and sends it again.
func (l *loadSimulation) send(job Job, attempt int) {
	p := l.pressure
	job.Accepted = l.wall().UnixMilli()
	err := l.engine.Submit(job, l.now, l.wall(), func(error) {})
	if err == nil {
		return
	}
	l.refused++
	p.refusals[refusalReason(err)]++
	if attempt == maxCallerAttempts {
		p.givenUp++
		return
	}
	p.retries = append(p.retries, retry{l.now + l.retryWait(err), job, attempt + 1})
}

// resubmit sends the jobs whose callers have waited for long enough.
func (l *loadSimulation) resubmit() {
	p := l.pressure
	if p == nil {
		return
	}
	due := p.retries
	p.retries = nil
	for _, r := range due {
		if r.at > l.now {
			p.retries = append(p.retries, r)
		} else {
			l.send(r.job, r.attempt)
		}
	}
}

// stopRuns carries out stop orders. The other members of a gang end too.
func (l *loadSimulation) stopRuns(stops []Stop) {
	if l.pressure == nil {
		return
	}
	for _, o := range stops {
		for _, r := range l.running {
			if r.task.name == o.Task && r.run == o.Run && r.endsAt > l.now {
				r.endKind, r.endsAt = EndStopped, l.now
			}
		}
		l.engine.StopAnswered(o, true, l.now)
	}
}

// applyBadMachine changes the end of a run that starts on a slow or failing machine.
func (l *loadSimulation) applyBadMachine(r *simulatedRun) {
	if l.pressure == nil {
		return
	}
	for _, b := range l.pressure.machines {
		if b.id != r.machine || l.now < b.from || l.now >= b.until {
			continue
		}
		if b.fails {
			r.endKind, r.endsAt = EndFailed, l.now+50*time.Millisecond
		} else {
			r.endsAt = l.now + time.Duration(b.factor*float64(r.endsAt-l.now))
		}
	}
}

// newTenants returns n tenants, the first three of which send half of all jobs. Each may
// send a quarter more jobs a second than it usually does.
func newTenants(n int, rate float64) []loadTenant {
	out := make([]loadTenant, n)
	for i := range out {
		share := 0.5 / float64(n-3)
		if i < 3 {
			share = 0.5 / 3
		}
		out[i] = loadTenant{Tenant: Tenant{Name: fmt.Sprintf("t%02d", i), Weight: 1.25 * share * rate}, share: share,
			tokens: 1.25 * share * rate}
	}
	return out
}

// pressureKinds returns the three kinds of job of the deployments with tenants or uneven
// machines: large, medium and small.
func pressureKinds(rates, runTimes, cores, worth [3]float64) []loadKind {
	kind := func(i int, name string, priority, count int, memoryGB, stretch, target float64, a Advisor, v variation) loadKind {
		a.TicketLife = 2 * time.Second
		return loadKind{
			queue: Queue{Name: name, Service: "s", Priority: priority, MaxAttempts: 3, Stretch: stretch,
				Target: time.Duration(target * float64(time.Second)), Advisor: &a},
			rate: rates[i], count: count, runTime: time.Duration(runTimes[i] * float64(time.Second)),
			need:  machine.Resources{CPUMilli: int64(1000 * cores[i]), MemoryMiB: int64(1000 * memoryGB)},
			worth: worth[i], variation: &v,
		}
	}
	large := kind(0, "large", 1, 20, 9.1, 2.2, 1.2, Advisor{BaseDuration: 350 * time.Millisecond, DurationPerMachine: 5 * time.Millisecond},
		variation{taskCount: 0.8, cpu: 0.4, memory: 0.5, runTime: 0.5, estimateError: 0.9, taskDifference: 0.15, failureShare: 0.02})
	large.gang, large.allowedShare = true, 0.3
	medium := kind(1, "medium", 2, 25, 6.4, 4, 3, Advisor{BaseDuration: 100 * time.Millisecond, DurationPerMachine: 1400 * time.Microsecond},
		variation{taskCount: 0.8, cpu: 0.45, memory: 0.6, runTime: 0.5, estimateError: 0.2, taskDifference: 0.15, failureShare: 0.02})
	medium.allowedShare = 0.45
	small := kind(2, "small", 0, 3, 5.1, 1.5, 0.4, Advisor{BaseDuration: 7200 * time.Microsecond, DurationPerMachine: 100 * time.Microsecond},
		variation{taskCount: 0.8, cpu: 0.45, memory: 0.6, runTime: 0.5, estimateError: 0.9, taskDifference: 0.15, failureShare: 0.02})
	small.allowedShare, small.gangShare = 0.7, 0.3
	return []loadKind{large, medium, small}
}

// newPressureLoad returns a simulation of 350 machines, a third of them fast.
func newPressureLoad(seed uint64, cores int64, daemons int, kinds []loadKind, tenants []loadTenant) *loadSimulation {
	l := newLoadSimulation(seed, 350, machine.Resources{CPUMilli: 1000 * cores, MemoryMiB: 65536}, daemons, kinds)
	l.speedUpThird()
	l.pressure = &pressure{tenants: tenants, callerRNG: rand.New(rand.NewPCG(seed, 9)), refusals: map[string]int{}}
	return l
}

// tenantLoad returns the load of the deployment with 20 tenants on machines of 16 cores.
func tenantLoad(seed uint64) *loadSimulation {
	kinds := pressureKinds([3]float64{4.03, 11.6, 93.8}, [3]float64{4, 2.7, 0.64}, [3]float64{4.5, 1.7, 2.5}, [3]float64{10.5, 3.94, 0.396})
	return newPressureLoad(seed, 16, 45, kinds, newTenants(20, 4.03+11.6+93.8))
}

// unevenLoad returns the load of the deployment without tenants on machines of 32 cores. Some
// of these turn slow by a factor of 4, and others fail what they start, for 8 s.
func unevenLoad(seed uint64) *loadSimulation {
	kinds := pressureKinds([3]float64{4.19, 6.93, 121}, [3]float64{4.2, 2.9, 0.54}, [3]float64{9, 3.5, 5}, [3]float64{12.7, 4.81, 0.386})
	l := newPressureLoad(seed, 32, 30, kinds, []loadTenant{{share: 1}})
	for i := range 20 {
		l.pressure.machines = append(l.pressure.machines, badMachine{id: l.machines[i*17].ID, from: 5 * time.Second,
			until: 13 * time.Second, factor: 4, fails: i%4 == 0})
	}
	return l
}

// burstOfEachKind adds a burst of each kind of job, one after the other.
func (l *loadSimulation) burstOfEachKind() {
	l.pressure.bursts = append(l.pressure.bursts,
		loadBurst{2, -1, 3 * time.Second, 7 * time.Second, 2.2},
		loadBurst{0, -1, 9 * time.Second, 13 * time.Second, 1.7},
		loadBurst{1, -1, 15 * time.Second, 20500 * time.Millisecond, 2.1})
}

// hotTenants lets a large tenant, and later two others, send 6.5 times their usual rate.
func (l *loadSimulation) hotTenants() {
	l.pressure.bursts = append(l.pressure.bursts,
		loadBurst{-1, 0, 4 * time.Second, 9600 * time.Millisecond, 6.5},
		loadBurst{-1, 1, 14 * time.Second, 19600 * time.Millisecond, 6.5},
		loadBurst{-1, 7, 14 * time.Second, 19600 * time.Millisecond, 6.5})
}

// countLost counts the work of a run that has ended without being done.
func (l *loadSimulation) countLost(r *simulatedRun) {
	if l.pressure != nil && r.endKind != EndDone {
		l.pressure.lost += (r.endsAt - r.startedAt).Seconds() * float64(r.task.step.spec.Need.CPUMilli) / 1000
	}
}

// refusalReason returns the reason of an error of Submit.
func refusalReason(err error) string { return errkind.ReasonOf(err) }

// retryWait returns how long a caller waits that was refused with err.
func (l *loadSimulation) retryWait(err error) time.Duration {
	least := min(max(int((errkind.WaitOf(err)+time.Second-1)/time.Second), 1), 6)
	return time.Duration(least+l.pressure.callerRNG.IntN(least+1)) * time.Second
}

// scaleRates multiplies the rates of all kinds. The weights of the tenants stay as they are.
func (l *loadSimulation) scaleRates(factor float64) {
	for i := range l.kinds {
		l.kinds[i].rate *= factor
	}
}
