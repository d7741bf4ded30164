package cell

import (
	"testing"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/sched"
)

// series returns the values of a gauge by the values of its labels tenant and resource.
func series(t *testing.T, m *Metrics, name string) map[[2]string]float64 {
	t.Helper()
	families, err := m.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[[2]string]float64)
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, x := range f.GetMetric() {
			labels := make(map[string]string)
			for _, l := range x.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			out[[2]string{labels["tenant"], labels["resource"]}] = x.GetGauge().GetValue()
		}
	}
	return out
}

// TestTenantGaugesFollowTheTenants guards against gauges that stay after a tenant has lost its cap or the daemon no
// longer leads, and against wrong units.
func TestTenantGaugesFollowTheTenants(t *testing.T) {
	const heldName, capName = "sassafraslb_cell_tenant_held", "sassafraslb_cell_tenant_cap"
	m := NewMetrics()
	x := sched.TenantUsage{Name: "x", Held: machine.Resources{CPUMilli: 1500, MemoryMiB: 64}, Cap: machine.Resources{CPUMilli: 2000}}
	y := sched.TenantUsage{Name: "y", Cap: machine.Resources{MemoryMiB: 100}}
	shown := m.setTenantGauges([]sched.TenantUsage{x, y}, nil)
	held, bound := series(t, m, heldName), series(t, m, capName)
	if got := held[[2]string{"x", "cpu_cores"}]; got != 1.5 {
		t.Errorf("x holds %v cores, want 1.5", got)
	}
	if len(held) != 6 || len(bound) != 2 || bound[[2]string{"x", "cpu_cores"}] != 2 || bound[[2]string{"y", "memory_mib"}] != 100 {
		t.Errorf("holdings %v, caps %v; want 6 and 2 series", held, bound)
	}
	shown = m.setTenantGauges([]sched.TenantUsage{y}, shown)
	if held := series(t, m, heldName); len(held) != 3 {
		t.Errorf("holdings %v after x has no cap, want those of y", held)
	}
	m.setTenantGauges(nil, shown)
	if held, bound := series(t, m, heldName), series(t, m, capName); len(held)+len(bound) != 0 {
		t.Errorf("holdings %v, caps %v after leading has ended, want none", held, bound)
	}
}
