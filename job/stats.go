package job

import (
	"sort"

	"github.com/sassafraslb/sassafraslb/machine"
)

// WorkerStats is the state of one worker of an owned rack.
type WorkerStats struct {
	Rack      string            `json:"rack"`
	ID        string            `json:"id"`
	Capacity  machine.Resources `json:"capacity"`
	Used      machine.Resources `json:"used"`
	Tasks     int               `json:"tasks"` // attempts that hold resources
	Reachable bool              `json:"reachable"`
	Draining  bool              `json:"draining"`
}

// ShardStats is the state of one owned job shard.
type ShardStats struct {
	Shard     string `json:"shard"`
	Recovered bool   `json:"recovered"` // every task that a previous owner of the shard started is known
	Open      int    `json:"open"`      // jobs that have not ended
	Waiting   int    `json:"waiting"`   // tasks of open jobs that neither run nor have finished
	Running   int    `json:"running"`   // tasks of open jobs that run
	Refused   int    `json:"refused"`   // jobs of the configuration that the placement policy refuses
}

// Stats returns the workers of all racks that this daemon owns, sorted by rack and id.
func (r *RackOwner) Stats() []WorkerStats {
	r.mu.Lock()
	tenures := make([]*rackTenure, 0, len(r.tenures))
	for _, t := range r.tenures {
		tenures = append(tenures, t)
	}
	r.mu.Unlock()
	var out []WorkerStats
	for _, t := range tenures {
		out = append(out, t.stats()...)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Rack != out[j].Rack {
			return out[i].Rack < out[j].Rack
		}
		return out[i].ID < out[j].ID
	})
	return out
}

func (t *rackTenure) stats() []WorkerStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]WorkerStats, 0, len(t.workers))
	for _, w := range t.workers {
		s := WorkerStats{
			Rack: string(t.key), ID: w.host.ID, Capacity: w.capacity, Reachable: w.reachable, Draining: w.draining(),
		}
		for _, a := range w.attempts {
			if a.holdsResources() {
				s.Used = s.Used.Add(a.resources())
				s.Tasks++
			}
		}
		out = append(out, s)
	}
	return out
}

// Stats returns the job shards that this daemon owns, sorted by key.
func (s *Scheduler) Stats() []ShardStats {
	s.mu.Lock()
	shards := make([]*shard, 0, len(s.shards))
	for _, sh := range s.shards {
		shards = append(shards, sh)
	}
	s.mu.Unlock()
	out := make([]ShardStats, 0, len(shards))
	for _, sh := range shards {
		out = append(out, sh.stats())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Shard < out[j].Shard })
	return out
}

func (sh *shard) stats() ShardStats {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	out := ShardStats{Shard: string(sh.key), Recovered: sh.recovered, Refused: len(sh.refusals)}
	for _, j := range sh.jobs {
		if j.final() {
			continue
		}
		running := j.runningTasks()
		out.Open++
		out.Running += running
		out.Waiting += j.job.Count - running - j.finishedTasks
	}
	return out
}
