package cell

import "runtime/debug"

// leaderGCPercent lets the leader's heap grow further between two collections than
// those of the other daemons. Memory is small but held by every host; processor time
// is short at the leader alone, which has thousands of goroutines to scan.
const leaderGCPercent = 200

// relaxGC sets the collector for the work of the leader, if this daemon has a
// memory limit. The function that it returns restores the former setting.
func (d *Daemon) relaxGC() (restore func()) {
	if !d.settings.MemoryLimited {
		return func() {}
	}
	former := debug.SetGCPercent(leaderGCPercent)
	return func() { debug.SetGCPercent(former) }
}
