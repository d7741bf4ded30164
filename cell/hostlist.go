package cell

import (
	"context"

	"github.com/sassafraslb/sassafraslb/sched"
)

// watchMachines follows the host list.
func (l *lead) watchMachines(ctx context.Context) {
	w := &watcher{
		log: l.d.route, stream: StreamMachines, longest: machinesWait, gather: machinesGather, logger: l.log,
		reset: func() { clear(l.list) },
		apply: l.applyMachine,
		done: func() {
			list := make([]sched.Machine, 0, len(l.list))
			for _, m := range l.list {
				list = append(list, m)
			}
			l.mu.Lock()
			l.engine.SetMachines(list, l.clock())
			l.mu.Unlock()
			kick(l.flushSoon)
		},
	}
	w.run(ctx)
}

// applyMachine takes one entry of the host list.
func (l *lead) applyMachine(e Entry) {
	if len(e.Value) == 0 {
		delete(l.list, e.Key)
		return
	}
	m, err := l.d.set.Decoder.Machine(e.Key, e.Value)
	if err != nil {
		delete(l.list, e.Key)
		l.log.Warn().Str("event", "machine_entry_unreadable").Str("machine", e.Key).Int64("offset", e.Offset).Err(err).Send()
		return
	}
	l.list[e.Key] = m
}
