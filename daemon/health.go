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

// Problem is something that a daemon cannot do at the moment, and the reason.
type Problem struct {
	Name   string `json:"name"`   // stable identifier in lower_snake_case
	Cannot string `json:"cannot"` // what the daemon cannot do, such as "serve callers"
	Why    string `json:"why"`    // the reason: the state or the error found
}

// readinessProblems returns the problems that make /readyz fail, so that the balancer sends
// no callers to this daemon.
func (d *Daemon) readinessProblems() []Problem {
	var out []Problem
	if d.draining.Load() {
		out = append(out, Problem{"draining", "take new calls", "this daemon is stopping"})
	}
	if err := do.MustInvoke[*config.Store](d.injector).Ready(); err != nil {
		out = append(out, Problem{"no_configuration", "serve callers", err.Error()})
	}
	return out
}

// serveReady answers /readyz: 200 if there is no readiness problem, otherwise 503 with one
// line per problem.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	problems := d.readinessProblems()
	if len(problems) == 0 {
		_, _ = w.Write([]byte("ready\n"))
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	for _, p := range problems {
		_, _ = fmt.Fprintf(w, "%s: %s\n", p.Name, p.Why)
	}
}

// problems returns everything that this daemon cannot do at the moment. If the host list
// cannot be read, the keys of the region are not known and not checked.
func (d *Daemon) problems(ctx context.Context) []Problem {
	out := d.readinessProblems()
	status := do.MustInvoke[*config.Store](d.injector).Status()
	if status.LogErr != nil {
		out = append(out, Problem{"log_unreadable", "accept jobs and changes, or see new ones", status.LogErr.Error()})
	}
	if status.FoldErr != nil {
		out = append(out, Problem{"configuration_stalled", "follow new changes", status.FoldErr.Error()})
	}
	members := do.MustInvoke[*link.Membership](d.injector).Members()
	out = append(out, memberProblems(members)...)
	out = append(out, regionProblems(d.settings.Regions, members)...)
	keys, err := d.keyOwners(ctx)
	if err != nil {
		return append(out, Problem{"host_list_unreadable", "see hosts come and go", err.Error()})
	}
	return append(out, keyProblems(d.settings.DaemonID, keys, members)...)
}

// memberProblems reports the daemons whose heartbeats do not arrive here.
func memberProblems(members []link.Member) []Problem {
	var out []Problem
	for _, m := range members {
		if m.State == link.Suspected || m.State == link.Dead {
			out = append(out, Problem{"daemon_" + string(m.State), "reach daemon " + m.ID, "no heartbeat from " + m.Address})
		}
	}
	return out
}

// regionProblems reports the regions without a daemon that is alive or suspected. A
// suspected daemon may still serve, since perhaps only its connection to this one is lost.
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

// Suffixes of the names of problems with keys. The kind of the keys precedes them, as in rack_without_owner.
const (
	suffixWithoutOwner  = "_without_owner"  // no daemon owns the key
	suffixWithoutTenure = "_without_tenure" // this daemon owns the key, but its tenure is not confirmed
	suffixOwnerDead     = "_owner_dead"     // the owner is dead, has left or is not known
)

// keyProblems reports the keys that nobody serves, as far as the daemon with the id self
// knows: one problem for each kind of key and each suffix, which lists the keys.
func keyProblems(self string, keys []KeyOwner, members []link.Member) []Problem {
	states := make(map[string]link.State, len(members))
	for _, m := range members {
		states[m.ID] = m.State
	}
	keysByProblem := make(map[string][]string) // by the name of the problem
	for _, k := range keys {
		kind := string(contract.Key(k.Key).Kind())
		state, known := states[k.Owner]
		switch {
		case k.Owner == "":
			keysByProblem[kind+suffixWithoutOwner] = append(keysByProblem[kind+suffixWithoutOwner], k.Key)
		case k.Owner == self && !k.Held:
			keysByProblem[kind+suffixWithoutTenure] = append(keysByProblem[kind+suffixWithoutTenure], k.Key)
		case k.Owner != self && (!known || state == link.Dead || state == link.Left):
			keysByProblem[kind+suffixOwnerDead] = append(keysByProblem[kind+suffixOwnerDead], k.Key+" ("+k.Owner+")")
		}
	}
	cannot := map[contract.KeyKind]string{
		contract.Rack: "start tasks on these racks", contract.Exec: "use these executors",
		contract.Jobs: "accept or place jobs of these shards", contract.IDs: "run quotes and nudges of these shards",
	}
	var out []Problem
	for _, kind := range []contract.KeyKind{contract.Rack, contract.Exec, contract.Jobs, contract.IDs} {
		for _, p := range []struct{ suffix, why string }{
			{suffixWithoutOwner, "no daemon owns "}, {suffixOwnerDead, "the owner is dead or has left: "}, {suffixWithoutTenure, "tenure is not confirmed for "},
		} {
			name := string(kind) + p.suffix
			if affected := keysByProblem[name]; len(affected) > 0 {
				out = append(out, Problem{name, cannot[kind], p.why + strings.Join(affected, ", ")})
			}
		}
	}
	return out
}
