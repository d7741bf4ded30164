package placement

import "time"

// Config holds the settings of an Engine. Zero fields take the defaults below.
type Config struct {
	// Seed makes jitter and sampling repeatable. Default 1.
	Seed uint64
	// MaxCandidates is how many feasible workers are scored in a large cell for a
	// batch task or a preemption, per zone and separately for workers with and
	// without accelerators. Default 16.
	MaxCandidates int
	// ExactSearchWorkers is the number of workers up to which a cell is small: there,
	// every feasible worker is scored; above it, workers are sampled. Default 64.
	ExactSearchWorkers int
	// BackoffBase and BackoffMax bound the wait before a failed task is tried
	// again. It doubles with each failure, and a random part of up to a half is
	// taken off. Defaults 500 ms, 1 min.
	BackoffBase, BackoffMax time.Duration
	// RejectBackoffBase bounds the wait after a rack owner has refused a proposed
	// task; it doubles with each refusal in a row, up to a hundred times this value,
	// and a random part of up to a half is taken off. Default 20 ms (so at most 2 s),
	// so that an urgent task can be tried several times within the 3.5 s in which it
	// has to start (see workload.Urgent).
	RejectBackoffBase time.Duration
	// ImpossibleGrace is how long an accepted job that the known workers cannot hold
	// waits for suitable workers before it ends. Default 60 s, longer than the
	// restart of a worker takes.
	ImpossibleGrace time.Duration
	// ReserveAfter is the wait after which a job that does not fit gets a
	// reservation of workers. Default 10 s: in the simulation of hardMix (see
	// mix_test.go), 2 s emptied workers too early and 30 s let gangs starve.
	ReserveAfter time.Duration
	// MaxReservations bounds the jobs that hold a reservation at the same time.
	// Default 4.
	MaxReservations int
	// LendMaxRunTime is the longest expected run time of batch tasks that may use
	// accelerator workers without needing accelerators, within the resources that
	// are not kept for tasks that do (see node.lendable). Default 1 min; negative
	// lends nothing.
	LendMaxRunTime time.Duration
	// ReclaimAfter is the wait after which a team within its quota gets resources
	// back that other teams use beyond theirs. Default 5 s.
	ReclaimAfter time.Duration
	// DrainMaxUnavailable bounds the tasks of one service that are unavailable at
	// the same time because workers are drained. Default 1.
	DrainMaxUnavailable int
	// NoLearning keeps declared sizes and run times. Learning is on by default
	// because workers are used better with it (TestLearningImprovesPacking).
	NoLearning bool
	// DeclaredSizes keeps declared sizes; learned run times then affect only the
	// order of jobs. A learned size below the declaration is safe only where
	// something stops or throttles a running task that outgrows it.
	DeclaredSizes bool
	// MinSamples is the number of ended tasks of a family before its estimates are
	// used. Default 20.
	MinSamples int
	// SizePercentile and SizeMargin give the learned size: the percentile of the
	// reported peaks, as a fraction, enlarged by the margin, a fraction too.
	// Defaults 0.98 and 0.15.
	SizePercentile, SizeMargin float64
	// RunTimePercentile and RunTimeMargin give the learned run time in the same way.
	// Defaults 0.75 and 0.10.
	RunTimePercentile, RunTimeMargin float64
	// ThrottleFreesPermille is the share of a throttled task's processors that is
	// free for others; its memory and accelerators stay in use. Default 500. With a
	// negative value, preemption does not throttle.
	ThrottleFreesPermille int64
	// QuarantineFailures is the number of failures in a row, of at least two jobs,
	// that quarantine a worker. Default 4.
	QuarantineFailures int
	// QuarantineBase and QuarantineMax bound the time before a quarantined worker
	// is probed with one task; it doubles with each failed probe, and a random part
	// of up to a half is taken off. Defaults 30 s, 10 min.
	QuarantineBase, QuarantineMax time.Duration
	// JobFailureLimit is the number of failures on at least three workers, without
	// a success, after which a job ends although its tasks have retries left.
	// Default 20.
	JobFailureLimit int
	// KeepEnded is how many ended jobs Explain can still explain, at least. Default
	// 10,000.
	KeepEnded int
}

// quarantineDivisor bounds the quarantined workers: at most the number of workers
// divided by it, so that faulty jobs cannot take the whole cell out of use.
const quarantineDivisor = 4

// withDefaults returns c with the defaults in place of zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.Seed, 1)
	setDefault(&c.MaxCandidates, 16)
	setDefault(&c.ExactSearchWorkers, 64)
	setDefault(&c.BackoffBase, 500*time.Millisecond)
	setDefault(&c.BackoffMax, time.Minute)
	setDefault(&c.RejectBackoffBase, 20*time.Millisecond)
	setDefault(&c.ImpossibleGrace, time.Minute)
	setDefault(&c.ReserveAfter, 10*time.Second)
	setDefault(&c.MaxReservations, 4)
	setDefault(&c.LendMaxRunTime, time.Minute)
	setDefault(&c.ReclaimAfter, 5*time.Second)
	setDefault(&c.DrainMaxUnavailable, 1)
	setDefault(&c.MinSamples, 20)
	setDefault(&c.SizePercentile, 0.98)
	setDefault(&c.SizeMargin, 0.15)
	setDefault(&c.RunTimePercentile, 0.75)
	setDefault(&c.RunTimeMargin, 0.10)
	setDefault(&c.ThrottleFreesPermille, 500)
	setDefault(&c.QuarantineFailures, 4)
	setDefault(&c.QuarantineBase, 30*time.Second)
	setDefault(&c.QuarantineMax, 10*time.Minute)
	setDefault(&c.JobFailureLimit, 20)
	setDefault(&c.KeepEnded, 10_000)
	if c.ThrottleFreesPermille < 0 {
		c.ThrottleFreesPermille = 0
	}
	return c
}

// setDefault sets field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
