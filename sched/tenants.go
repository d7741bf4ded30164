package sched

// tenantState is what the engine keeps of a tenant that the configuration names or that has jobs.
type tenantState struct {
	Tenant
	configured bool // the configuration in force names it
	usage      tenantUsage
	share      tenantShare
}

// SetTenants replaces the weights and caps of the tenants by those of a configuration. It must be
// called before SetQueues of the same version, which sets the version in force. A tenant that the
// configuration lacks keeps its weight and cap, since its jobs are carried on. An older version than
// the one in force is ignored.
func (e *Engine) SetTenants(version int64, tenants []Tenant) {
	if version < e.configVersion {
		return
	}
	for _, t := range e.tenants {
		t.configured = false
	}
	e.tenantsConfigured = len(tenants) > 0
	for _, t := range tenants {
		state := e.tenant(t.Name)
		state.Tenant, state.configured = t, true
	}
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
