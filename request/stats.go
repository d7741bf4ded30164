package request

import (
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Stats is the state of a Service, as operators see it.
type Stats struct {
	Open            int          `json:"open"` // calls and background runs in progress
	Draining        bool         `json:"draining"`
	Recorded        int          `json:"recorded"` // ids that the recorder remembers
	KeptAnswerBytes int64        `json:"kept"`     // bytes of answers that the recorder keeps
	Groups          []GroupStats `json:"groups"`   // executor groups owned by this daemon
	KnownGroups     []KnownGroup `json:"known"`    // all groups as the entry sees them
}

// GroupStats is the state of an executor group that this daemon owns.
type GroupStats struct {
	Key       string          `json:"key"`
	Epoch     uint64          `json:"epoch"`
	Queued    int             `json:"queued"`
	Waiting   map[string]int  `json:"waiting"` // queued calls by customer
	RunTimeUS int64           `json:"run_time_us"`
	Executors []ExecutorStats `json:"executors"`
}

// ExecutorStats is the state of one executor as the owner of its group sees it.
type ExecutorStats struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	Slots    int     `json:"slots"`
	InFlight int     `json:"in_flight"`
	Foreign  int     `json:"foreign"` // slots busy with runs that this owner does not track
	Held     int     `json:"held"`    // slots kept free for starting calls or after failures
	Up       bool    `json:"up"`
	Leaving  bool    `json:"leaving"`
	Health   string  `json:"health"`
	FailRate float64 `json:"fail_rate"`
}

// KnownGroup is what the entry knows about an executor group.
type KnownGroup struct {
	Key      string `json:"key"`
	Owner    string `json:"owner"`
	Slots    int    `json:"slots"`
	Busy     int    `json:"busy"`
	Queued   int    `json:"queued"`
	OwnCalls int    `json:"mine"` // calls of this entry in progress
}

// Stats returns the current state.
func (s *Service) Stats() Stats {
	var st Stats
	st.Open, st.Draining = s.gate.state()
	s.recorder.mu.Lock()
	st.Recorded, st.KeptAnswerBytes = s.recorder.count, s.recorder.keptAnswerBytes
	s.recorder.mu.Unlock()
	for _, g := range s.groups.all() {
		st.Groups = append(st.Groups, g.stats())
	}
	slices.SortFunc(st.Groups, func(a, b GroupStats) int { return strings.Compare(a.Key, b.Key) })
	st.KnownGroups = s.loads.stats()
	return st
}

func (g *group) stats() GroupStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := GroupStats{Key: string(g.key), Epoch: uint64(g.epoch), Queued: g.queue.length,
		Waiting:   lo.MapValues(g.queue.flows, func(f *flow, _ string) int { return f.calls.Len() }),
		RunTimeUS: int64(g.meanRunSeconds * 1e6)}
	for _, x := range g.executors {
		out.Executors = append(out.Executors, ExecutorStats{ID: x.host.ID, Address: x.host.Address, Slots: x.slots,
			InFlight: len(x.inFlight), Foreign: x.foreign, Held: x.held, Up: x.up, Leaving: x.leaving,
			Health: x.health.state.String(), FailRate: x.health.failRate})
	}
	slices.SortFunc(out.Executors, func(a, b ExecutorStats) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (t *loadTable) stats() []KnownGroup {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []KnownGroup
	for k, v := range t.views {
		owner, _, _ := t.s.cfg.Ownership.Owner(k)
		out = append(out, KnownGroup{Key: string(k), Owner: owner, Slots: int(v.load.GetSlots()),
			Busy: int(v.load.GetBusy()), Queued: int(v.load.GetQueued()), OwnCalls: v.ownCalls})
	}
	slices.SortFunc(out, func(a, b KnownGroup) int { return strings.Compare(a.Key, b.Key) })
	return out
}
