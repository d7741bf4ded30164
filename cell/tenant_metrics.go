package cell

import (
	"slices"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/sched"
)

// setTenantGauges sets the gauges of the tenants with a cap, and removes those of former tenants, of
// which it had set the gauges, that are not in usages. It returns the tenants whose gauges are set.
func (m *Metrics) setTenantGauges(usages []sched.TenantUsage, former []string) []string {
	names := make([]string, 0, len(usages))
	for _, u := range usages {
		names = append(names, u.Name)
		held, bound := amounts(u.Held), amounts(u.Cap)
		for i, resource := range resourceLabels {
			m.TenantHeld.WithLabelValues(u.Name, resource).Set(held[i])
			if bound[i] > 0 {
				m.TenantCap.WithLabelValues(u.Name, resource).Set(bound[i])
			} else {
				m.TenantCap.DeleteLabelValues(u.Name, resource)
			}
		}
	}
	for _, name := range former {
		if !slices.Contains(names, name) {
			for _, resource := range resourceLabels {
				m.TenantHeld.DeleteLabelValues(name, resource)
				m.TenantCap.DeleteLabelValues(name, resource)
			}
		}
	}
	return names
}

// resourceLabels are the values of the label resource: processors in cores, memory in MiB,
// accelerators in devices.
var resourceLabels = [...]string{"cpu_cores", "memory_mib", "accelerators"}

// amounts returns the amounts of r in the units of resourceLabels.
func amounts(r machine.Resources) [len(resourceLabels)]float64 {
	return [...]float64{float64(r.CPUMilli) / 1000, float64(r.MemoryMiB), float64(r.Accelerators)}
}
