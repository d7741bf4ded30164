package placement

import "time"

// Config holds the settings of an Engine. Zero fields take the defaults below.
type Config struct {
	// Seed makes jitter and sampling repeatable. Default 1.
	Seed uint64
	// BatchCandidates is how many feasible workers per zone are scored for a batch task
	// in a large cell. Default 16; chosen, not measured.
	BatchCandidates int
	// ExactSearchWorkers is the number of workers up to which every feasible worker is
	// scored; above it, workers are sampled. Default 64.
	ExactSearchWorkers int
	// BackoffBase and BackoffMax bound the wait before a failed task is tried
	// again; it doubles per failure and is jittered by half. Defaults 500 ms, 1 min.
	BackoffBase, BackoffMax time.Duration
	// RejectBackoffBase bounds the wait after a rack owner has refused a plan; it
	// doubles per consecutive refusal up to 2 s. Default 20 ms, so that an urgent
	// task can be tried several times within its 3.5 s.
	RejectBackoffBase time.Duration
	// ImpossibleGrace is how long an accepted job that no known worker can hold
	// waits for such a worker before it ends. Default 60 s, longer than the
	// restart of a worker.
	ImpossibleGrace time.Duration
	// ReserveAfter is the wait after which a job that does not fit gets a
	// reservation of workers. Default 10 s: 2 s drained workers too early and 30 s let
	// gangs starve in the hard mix.
	ReserveAfter time.Duration
	// MaxReservations bounds the jobs that hold a reservation at once. Default 4.
	MaxReservations int
	// LendMaxRunTime is the longest expected run time of batch tasks that may use
	// accelerator workers without needing accelerators, within the room that is not
	// kept for those (see lendable). Default 1 min; negative lends nothing.
	LendMaxRunTime time.Duration
	// ReclaimAfter is the wait after which a team below its quota takes borrowed
	// resources back. Default 5 s.
	ReclaimAfter time.Duration
	// DrainMaxUnavailable bounds the tasks of one service that are out of service at
	// once while workers are drained. Default 1.
	DrainMaxUnavailable int
	// NoLearning keeps declared sizes and run times. Learning is on by default
	// because it raises packing (TestLearningBeatsDeclaration).
	NoLearning bool
	// DeclaredSizes keeps declared sizes; run times are still learned. A learned
	// size below the declaration is safe only where something stops or throttles a
	// running task that outgrows it.
	DeclaredSizes bool
	// MinSamples is the number of reports before a family's estimate is used. Default 20.
	MinSamples int
	// SizePercentile and SizeMargin give the learned size: the percentile of the
	// reported peaks, enlarged by the margin. Defaults 0.98 and 0.15.
	SizePercentile, SizeMargin float64
	// RunTimePercentile and RunTimeMargin give the learned run time. Defaults 0.75 and 0.10.
	RunTimePercentile, RunTimeMargin float64
	// ThrottleFreesPermille is the share of a throttled task's processors that is
	// free for others; its memory and accelerators stay in use. Default 500. A
	// negative value disables throttling as a preemption.
	ThrottleFreesPermille int64
	// QuarantineFailures is the number of failures in a row, of at least two jobs,
	// that quarantine a worker. Default 4.
	QuarantineFailures int
	// QuarantineBase and QuarantineMax bound the time before a quarantined worker
	// is probed with one task; it doubles per failed probe. Defaults 30 s, 10 min.
	QuarantineBase, QuarantineMax time.Duration
	// JobFailureLimit is the number of failures on at least three workers, with
	// no success, after which a job ends although single tasks have retries left.
	// Default 20.
	JobFailureLimit int
	// KeepEnded is how many ended jobs Explain remembers. Default 10,000.
	KeepEnded int
}

// quarantineShare is the divisor of the cell that bounds quarantine: at most one
// worker in four, so that a fault of the jobs cannot empty the cell.
const quarantineShare = 4

func (c Config) withDefaults() Config {
	def(&c.Seed, 1)
	def(&c.BatchCandidates, 16)
	def(&c.ExactSearchWorkers, 64)
	def(&c.BackoffBase, 500*time.Millisecond)
	def(&c.BackoffMax, time.Minute)
	def(&c.RejectBackoffBase, 20*time.Millisecond)
	def(&c.ImpossibleGrace, time.Minute)
	def(&c.ReserveAfter, 10*time.Second)
	def(&c.MaxReservations, 4)
	def(&c.LendMaxRunTime, time.Minute)
	def(&c.ReclaimAfter, 5*time.Second)
	def(&c.DrainMaxUnavailable, 1)
	def(&c.MinSamples, 20)
	def(&c.SizePercentile, 0.98)
	def(&c.SizeMargin, 0.15)
	def(&c.RunTimePercentile, 0.75)
	def(&c.RunTimeMargin, 0.10)
	def(&c.ThrottleFreesPermille, 500)
	def(&c.QuarantineFailures, 4)
	def(&c.QuarantineBase, 30*time.Second)
	def(&c.QuarantineMax, 10*time.Minute)
	def(&c.JobFailureLimit, 20)
	def(&c.KeepEnded, 10_000)
	if c.ThrottleFreesPermille < 0 {
		c.ThrottleFreesPermille = 0
	}
	return c
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
