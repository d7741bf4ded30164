// Package machine describes workers, which run tasks, and executors, which run
// requests: their resources and the clients of their HTTP protocols.
package machine

import "fmt"

// Resources is the amount of each resource that a worker has or a task needs.
type Resources struct {
	CPUMilli     int64 `json:"cpu_milli"`    // thousandths of a processor core
	MemoryMiB    int64 `json:"memory_mib"`   // mebibytes
	Accelerators int64 `json:"accelerators"` // whole devices
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Scale returns r multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.CPUMilli * n, r.MemoryMiB * n, r.Accelerators * n}
}

// Fits reports whether no resource of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMilli <= free.CPUMilli && r.MemoryMiB <= free.MemoryMiB && r.Accelerators <= free.Accelerators
}

// IsZero reports whether every amount is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Negative reports whether any amount is below zero.
func (r Resources) Negative() bool {
	return r.CPUMilli < 0 || r.MemoryMiB < 0 || r.Accelerators < 0
}

// String returns a short form for logs and explanations.
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm mem=%dMiB acc=%d", r.CPUMilli, r.MemoryMiB, r.Accelerators)
}

// ThrottledCPUShare is the fraction of its CPU that a throttled task keeps. It
// keeps all of its memory and accelerators.
const ThrottledCPUShare = 0.5

// Throttled returns what a task that needs r uses while it is throttled.
func Throttled(r Resources) Resources {
	r.CPUMilli -= int64(float64(r.CPUMilli) * (1 - ThrottledCPUShare))
	return r
}
