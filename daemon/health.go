package daemon

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/samber/do/v2"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Problem is something that a daemon cannot do, and why.
type Problem struct {
	Name   string `json:"name"` // stable, lower_snake_case
	Cannot string `json:"cannot"`
	Why    string `json:"why"`
}

// unready returns the problems because of which the balancer must send no callers.
func (d *Daemon) unready() []Problem {
	var out []Problem
	if d.draining.Load() {
		out = append(out, Problem{"draining", "take new calls", "this daemon is stopping"})
	}
	if err := do.MustInvoke[*config.Store](d.injector).Ready(); err != nil {
		out = append(out, Problem{"no_configuration", "serve callers", err.Error()})
	}
	return out
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	problems := d.unready()
	if len(problems) == 0 {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	for _, p := range problems {
		_, _ = fmt.Fprintf(w, "%s: %s\n", p.Name, p.Why)
	}
}

// problems returns everything that this daemon cannot do at the moment.
func (d *Daemon) problems(ctx context.Context) []Problem {
	out := d.unready()
	in := do.MustInvoke[*config.Store](d.injector).Status()
	if in.LogErr != nil {
		out = append(out, Problem{"log_unreadable", "accept jobs and changes, or see new ones", in.LogErr.Error()})
	}
	if in.FoldErr != nil {
		out = append(out, Problem{"configuration_stalled", "follow new changes", in.FoldErr.Error()})
	}
	members := do.MustInvoke[*link.Members](d.injector).Members()
	out = append(out, memberProblems(members)...)
	out = append(out, regionProblems(d.set.Regions, members)...)
	keys, err := d.keys(ctx)
	if err != nil {
		return append(out, Problem{"host_list_unreadable", "see hosts come and go", err.Error()})
	}
	return append(out, keyProblems(d.set.DaemonID, keys, members)...)
}

// memberProblems reports the daemons that this one does not hear.
func memberProblems(members []link.Member) []Problem {
	var out []Problem
	for _, m := range members {
		if m.State == link.Suspected || m.State == link.Dead {
			out = append(out, Problem{"daemon_" + string(m.State), "reach daemon " + m.ID, "no heartbeat from " + m.Address})
		}
	}
	return out
}

// regionProblems reports the regions of which no daemon is a member that may serve. A
// suspected daemon may, since its silence can be that of one connection.
func regionProblems(regions map[zone.Region][]zone.Name, members []link.Member) []Problem {
	served := make(map[zone.Region]bool)
	for _, m := range members {
		if m.State == link.Alive || m.State == link.Suspected {
			served[m.Region] = true
		}
	}
	var out []Problem
	for _, r := range slices.Sorted(maps.Keys(regions)) {
		if !served[r] {
			out = append(out, Problem{"region_without_daemon", "use workers and executors of region " + string(r), "no daemon of the region is alive"})
		}
	}
	return out
}

// What can be wrong with the owners of keys. The kind of the keys precedes it in the name of the problem.
const (
	withoutOwner  = "_without_owner"
	withoutTenure = "_without_tenure"
	ownerDead     = "_owner_dead"
)

// keyProblems reports the keys without an owner that may act, grouped by kind, as daemon self sees them.
func keyProblems(self string, keys []KeyOwner, members []link.Member) []Problem {
	states := make(map[string]link.State, len(members))
	for _, m := range members {
		states[m.ID] = m.State
	}
	found := make(map[string][]string) // keys by the name of their problem
	for _, k := range keys {
		kind := string(contract.Key(k.Key).Kind())
		state, known := states[k.Owner]
		switch {
		case k.Owner == "":
			found[kind+withoutOwner] = append(found[kind+withoutOwner], k.Key)
		case k.Owner == self && !k.Mine:
			found[kind+withoutTenure] = append(found[kind+withoutTenure], k.Key)
		case k.Owner != self && (!known || state == link.Dead || state == link.Left):
			found[kind+ownerDead] = append(found[kind+ownerDead], k.Key+" ("+k.Owner+")")
		}
	}
	use := map[contract.KeyKind]string{
		contract.Rack: "start tasks on these racks", contract.Exec: "use these executors",
		contract.Jobs: "accept or place jobs of these shards", contract.IDs: "run quotes and nudges of these shards",
	}
	var out []Problem
	for _, kind := range []contract.KeyKind{contract.Rack, contract.Exec, contract.Jobs, contract.IDs} {
		for _, p := range []struct{ suffix, why string }{
			{withoutOwner, "no daemon owns "}, {ownerDead, "the owner is dead or has left: "}, {withoutTenure, "tenure is not confirmed for "},
		} {
			name := string(kind) + p.suffix
			if ks := found[name]; len(ks) > 0 {
				out = append(out, Problem{name, use[kind], p.why + strings.Join(ks, ", ")})
			}
		}
	}
	return out
}
