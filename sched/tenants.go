package sched

// tenantState is what the engine keeps of a tenant that the configuration names or that has jobs.
type tenantState struct {
	Tenant
	configured bool // the configuration in force names it
	usage      tenantUsage
	share      tenantShare
}

// maxWeight bounds the weight of a tenant, so that sums and quotients of weights are finite. It is far
// above the jobs a second that a cell serves.
const maxWeight = 1e6

// SetTenants replaces the weights and caps of the tenants by those of a configuration. It must be
// called before SetQueues of the same version, which sets the version in force. A tenant that the
// configuration lacks keeps its weight and cap, since its jobs are carried on. An older version than
// the one in force is ignored. An operator writes the numbers: those out of range are replaced by the
// nearest one in range, a weight that is no number by 0. An entry without a name is left out, since
// its cap would hold for the jobs without a tenant.
func (e *Engine) SetTenants(version int64, tenants []Tenant) {
	if version < e.configVersion {
		return
	}
	e.anyCap = false
	for _, t := range e.tenants {
		t.configured = false
	}
	e.tenantsConfigured = len(tenants) > 0
	for _, t := range tenants {
		if t.Name == "" {
			e.log.Warn().Str("event", "tenant_without_name").Int64("version", version).Send()
			continue
		}
		if in := t.inRange(); in != t {
			e.log.Warn().Str("event", "tenant_out_of_range").Int64("version", version).Str("tenant", t.Name).
				Float64("weight", t.Weight).Float64("weight_used", in.Weight).
				Str("cap", t.Cap.String()).Str("cap_used", in.Cap.String()).Send()
			t = in
		}
		state := e.tenant(t.Name)
		state.Tenant, state.configured = t, true
	}
	for _, t := range e.tenants {
		e.anyCap = e.anyCap || !t.Cap.IsZero()
	}
}

// inRange returns t with its weight between 0 and maxWeight, and each resource of its cap between 0,
// which is no bound, and maxResourceAmount.
func (t Tenant) inRange() Tenant {
	if !(t.Weight > 0) { // also for NaN
		t.Weight = 0
	}
	t.Weight = min(t.Weight, maxWeight)
	for _, amount := range []*int64{&t.Cap.CPUMilli, &t.Cap.MemoryMiB, &t.Cap.Accelerators} {
		*amount = min(max(*amount, 0), maxResourceAmount)
	}
	return t
}

// tenant returns the state of a tenant, and adds it if it is not known. Jobs without a tenant share
// the one without a name.
func (e *Engine) tenant(name string) *tenantState {
	t := e.tenants[name]
	if t == nil {
		t = &tenantState{Tenant: Tenant{Name: name}}
		e.tenants[name] = t
	}
	return t
}

// JobTenant returns the tenant whose job it is, empty for a job without a tenant, and false if the job is
// not known.
func (e *Engine) JobTenant(id string) (string, bool) {
	j := e.jobs[id]
	if j == nil {
		return "", false
	}
	return j.spec.Tenant, true
}
