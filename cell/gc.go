package cell

import "runtime/debug"

// leaderGCPercent is the garbage collector's target percentage (GOGC) on the leader. It lets the
// heap grow further between two collections than on other daemons: memory is reserved on every
// host, but processor time is short on the leader alone, which has thousands of goroutines to scan.
const leaderGCPercent = 200

// relaxGC sets leaderGCPercent if the Go runtime has a memory limit. The returned function restores
// the former setting.
func (d *Daemon) relaxGC() (restore func()) {
	if !d.settings.MemoryLimited {
		return func() {}
	}
	former := debug.SetGCPercent(leaderGCPercent)
	return func() { debug.SetGCPercent(former) }
}
