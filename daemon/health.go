package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/samber/do/v2"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/link"
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
	in := do.MustInvoke[*config.Store](d.injector).InForce()
	if in.LogErr != nil {
		out = append(out, Problem{"log_unreadable", "accept jobs and changes, or see new ones", in.LogErr.Error()})
	}
	if in.Stalled != nil {
		out = append(out, Problem{"configuration_stalled", "follow new changes", in.Stalled.Error()})
	}
	for _, m := range do.MustInvoke[*link.Members](d.injector).Members() {
		if m.State == link.Suspected || m.State == link.Dead {
			out = append(out, Problem{"daemon_" + string(m.State), "reach daemon " + m.ID, "no heartbeat from " + m.Address})
		}
	}
	keys, err := d.keys(ctx)
	if err != nil {
		return append(out, Problem{"host_list_unreadable", "see hosts come and go", err.Error()})
	}
	return append(out, d.keyProblems(keys)...)
}

// keyProblems reports keys without an owner that may act, grouped by kind.
func (d *Daemon) keyProblems(keys []KeyOwner) []Problem {
	free := make(map[contract.KeyKind][]string)
	idle := make(map[contract.KeyKind][]string)
	for _, k := range keys {
		kind := contract.Key(k.Key).Kind()
		switch {
		case k.Owner == "":
			free[kind] = append(free[kind], k.Key)
		case k.Owner == d.set.DaemonID && !k.Mine:
			idle[kind] = append(idle[kind], k.Key)
		}
	}
	use := map[contract.KeyKind]string{
		contract.Rack: "start tasks on these racks", contract.Exec: "use these executors",
		contract.Jobs: "accept or place jobs of these shards", contract.IDs: "run quotes and nudges of these shards",
	}
	var out []Problem
	for _, kind := range []contract.KeyKind{contract.Rack, contract.Exec, contract.Jobs, contract.IDs} {
		if ks := free[kind]; len(ks) > 0 {
			out = append(out, Problem{string(kind) + "_without_owner", use[kind], "no daemon owns " + strings.Join(ks, ", ")})
		}
		if ks := idle[kind]; len(ks) > 0 {
			out = append(out, Problem{string(kind) + "_without_tenure", use[kind], "tenure is not confirmed for " + strings.Join(ks, ", ")})
		}
	}
	return out
}
