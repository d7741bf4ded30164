package cell

import (
	"context"

	"github.com/sassafraslb/sassafraslb/sched"
)

// watchMachines follows the host list until ctx ends. Once the engine has the job state, it hands the
// list to the engine, and again after each change.
func (l *leadership) watchMachines(ctx context.Context) {
	w := &watcher{
		log: l.daemon.platformLog, stream: StreamMachines, readWait: hostListReadWait, batchPause: hostListBatchPause, logger: l.logger,
		reset: func() { clear(l.hostList) },
		apply: l.applyMachine,
		done: func() {
			select {
			case <-l.restored:
			case <-ctx.Done():
				return
			}
			list := make([]sched.Machine, 0, len(l.hostList))
			for _, m := range l.hostList {
				list = append(list, m)
			}
			l.mu.Lock()
			l.engine.SetMachines(list, l.clock())
			l.mu.Unlock()
			notify(l.flushSignal)
		},
	}
	w.run(ctx)
}

// applyMachine applies one entry of the host list. An entry without a value, or one that cannot
// be decoded, removes the machine.
func (l *leadership) applyMachine(e Entry) {
	if len(e.Value) == 0 {
		delete(l.hostList, e.Key)
		return
	}
	m, err := l.daemon.settings.Decoder.Machine(e.Key, e.Value)
	if err != nil {
		delete(l.hostList, e.Key)
		l.logger.Warn().Str("event", "machine_entry_unreadable").Str("machine", e.Key).Int64("offset", e.Offset).Err(err).Send()
		return
	}
	l.hostList[e.Key] = m
}
