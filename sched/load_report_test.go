package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
)

// servedShares returns two shares of the jobs of each kind: inTime were completed by their
// objective, late were completed after it, but within three times the span from submission
// to objective. oldest is the age of the oldest job that is not completed, 0 if there is
// none.
func (l *loadSimulation) servedShares() (inTime, late []float64, oldest time.Duration) {
	n := make([]int, len(l.kinds))
	inTime, late = make([]float64, len(l.kinds)), make([]float64, len(l.kinds))
	for _, j := range l.jobs {
		n[j.kind]++
		span := j.objective - j.submittedAt
		switch {
		case j.completedAt == 0:
			oldest = max(oldest, l.now-j.submittedAt)
		case j.completedAt <= j.objective:
			inTime[j.kind]++
		case j.completedAt <= j.submittedAt+3*span:
			late[j.kind]++
		}
	}
	for i := range n {
		inTime[i] /= float64(max(n[i], 1))
		late[i] /= float64(max(n[i], 1))
	}
	return inTime, late, oldest
}

// credit returns, for each kind, the earned share of the total worth of its jobs. A job
// that is completed by its objective earns its whole worth. A job that is completed later,
// but within three times the span from submission to objective, earns a fifth of it. The
// worth of a job rises with its work, up to four times the worth of a job of mean work.
func (l *loadSimulation) credit() []float64 {
	const late = 0.2
	totalWorth, earned, totalWork, jobCount := make([]float64, len(l.kinds)), make([]float64, len(l.kinds)),
		make([]float64, len(l.kinds)), make([]float64, len(l.kinds))
	for _, j := range l.jobs {
		totalWork[j.kind] += j.work
		jobCount[j.kind]++
	}
	for _, j := range l.jobs {
		worth := min(0.3+0.7*j.work*jobCount[j.kind]/totalWork[j.kind], 4)
		totalWorth[j.kind] += worth
		span := j.objective - j.submittedAt
		switch {
		case j.completedAt == 0:
		case j.completedAt <= j.objective:
			earned[j.kind] += worth
		case j.completedAt <= j.submittedAt+3*span:
			earned[j.kind] += late * worth
		}
	}
	for i := range earned {
		earned[i] /= max(totalWorth[i], 1)
	}
	return earned
}

// pressureReport is what callers get out of a load, as shares of the worth that they could
// get.
type pressureReport struct {
	all          float64
	byKind       [3]float64
	bySize       [3][3]float64 // by kind: the largest tenth of the jobs, the fifth below it, the others
	worstTenants float64       // mean of the worst tenth of the tenants, without jobs beyond their rate
	otherTenants float64       // jobs within the rate of their tenant
	worstSeconds float64       // mean of the worst tenth of the seconds of submission
	lost         float64       // core-seconds of runs that did not end as done, as a share of all work
}

// shareEarned is earned worth and the worth that could have been earned.
type shareEarned struct{ earned, worth float64 }

func (s *shareEarned) add(earned, worth float64) { s.earned, s.worth = s.earned+earned, s.worth+worth }

func (s shareEarned) share() float64 { return s.earned / max(s.worth, 1e-9) }

// worstTenth returns the mean share of the worst tenth of the groups with any worth, at least
// one of them.
func worstTenth[K comparable](groups map[K]*shareEarned) float64 {
	var shares []float64
	for _, g := range groups {
		shares = append(shares, g.share())
	}
	slices.Sort(shares)
	n := max(1, len(shares)/10)
	return lo.Sum(shares[:n]) / float64(n)
}

// report returns what the callers got. The worth of a job is that of its kind times 0.3 + 0.7 x
// its work relative to the mean of its kind, at most 4 times that of its kind.
func (l *loadSimulation) report() pressureReport {
	works := make([][]float64, len(l.kinds))
	for _, j := range l.jobs {
		works[j.kind] = append(works[j.kind], j.work)
	}
	for _, w := range works {
		slices.Sort(w)
	}
	var r pressureReport
	var all, within shareEarned
	kinds, sizes := [3]shareEarned{}, [3][3]shareEarned{}
	tenants, seconds := map[int]*shareEarned{}, map[time.Duration]*shareEarned{}
	total := 0.0
	for _, j := range l.jobs {
		w := works[j.kind]
		total += j.work
		relative := min(0.3+0.7*j.work*float64(len(w))/lo.Sum(w), 4)
		worth, credit := relative*l.kinds[j.kind].worth, 0.0
		span := j.objective - j.submittedAt
		switch {
		case j.completedAt == 0:
		case j.completedAt <= j.objective:
			credit = 1
		case j.completedAt <= j.submittedAt+3*span:
			credit = 0.2
		}
		size := 2
		if j.work >= w[len(w)*9/10] {
			size = 0
		} else if j.work >= w[len(w)*7/10] {
			size = 1
		}
		all.add(credit*worth, worth)
		kinds[j.kind].add(credit*worth, worth)
		sizes[j.kind][size].add(credit*worth, worth)
		second := j.submittedAt.Truncate(time.Second)
		if seconds[second] == nil {
			seconds[second] = &shareEarned{}
		}
		seconds[second].add(credit*worth, worth)
		if j.beyondRate {
			continue
		}
		within.add(credit*worth, worth)
		if tenants[j.tenant] == nil {
			tenants[j.tenant] = &shareEarned{}
		}
		tenants[j.tenant].add(credit*worth, worth)
	}
	r.all, r.otherTenants, r.lost = all.share(), within.share(), l.pressure.lost/total
	r.worstTenants, r.worstSeconds = worstTenth(tenants), worstTenth(seconds)
	for k := range kinds {
		r.byKind[k] = kinds[k].share()
		for s := range sizes[k] {
			r.bySize[k][s] = sizes[k][s].share()
		}
	}
	return r
}

func (r pressureReport) String() string {
	return fmt.Sprintf("all %.3f kinds %.3f sizes %.3f worst tenants %.3f within rate %.3f worst seconds %.3f lost %.3f",
		r.all, r.byKind, r.bySize, r.worstTenants, r.otherTenants, r.worstSeconds, r.lost)
}
