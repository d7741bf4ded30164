package cell

import (
	"cmp"
	"slices"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Caller is for whom a daemon submits, reads or cancels a job. Which jobs exist for it depends on its
// tenant, so that one tenant neither sees nor stops the jobs of another.
type Caller struct {
	Tenant string // empty on an anonymous route
	// AnyTenant means that the configuration has no tenants. All jobs exist for the caller, also those that
	// were accepted under a former configuration with tenants.
	AnyTenant bool
}

// sees reports whether a job of a tenant exists for the caller. A job without a tenant exists for everyone:
// it was submitted without a key, and possibly before the configuration had tenants, by a caller that has a
// key now and may send it again.
func (c Caller) sees(tenant string) bool { return c.AnyTenant || tenant == "" || tenant == c.Tenant }

// sign adds the caller to the request of a call to the leader.
func (c Caller) sign(request *call) *call {
	request.Tenant, request.AnyTenant = c.Tenant, c.AnyTenant
	return request
}

// caller returns for whom the call is made. It has no tenant if the sender is a build without tenants.
func (c *call) caller() Caller { return Caller{Tenant: c.Tenant, AnyTenant: c.AnyTenant} }

// errJobIDTaken is the refusal of a submission under the id of a job of another tenant. It says that the id
// is in use, but neither for whom nor what has become of that job.
var errJobIDTaken error = errkind.New(errkind.Conflict, "job_id_taken", "the job id is in use; choose another one")

// isFor reports whether a job exists for the caller, or its id is not in use. The caller of isFor holds mu.
func (l *leadership) isFor(who Caller, id string) bool {
	tenant, known := l.engine.JobTenant(id)
	return !known || who.sees(tenant)
}

// TenantOf returns the tenant that a key belongs to in this configuration, and false if there is none.
func (c *Config) TenantOf(key KeyHash) (string, bool) {
	tenant, ok := c.tenantByKey[key]
	return tenant, ok
}

// indexKeys builds the map that TenantOf reads. It must be called once, before the configuration is shared.
// A key of two tenants belongs to the one whose name comes first, on every daemon and whatever the order of
// the list. Keys of a tenant without a name are not accepted, since its jobs would count as jobs without a
// tenant, which exist for everyone. Both are logged, without the key.
func (c *Config) indexKeys(logger zerolog.Logger) {
	c.tenantByKey = make(map[KeyHash]string)
	byName := slices.Clone(c.Tenants)
	slices.SortStableFunc(byName, func(a, b Tenant) int { return cmp.Compare(a.Name, b.Name) })
	for _, t := range byName {
		if t.Name == "" {
			logger.Warn().Str("event", "tenant_without_name").Int64("version", c.Version).Int("keys", len(t.Keys)).Send()
			continue
		}
		for i, key := range t.Keys {
			switch owner, taken := c.tenantByKey[key]; {
			case key == emptyKey: // a call without a key must not match it
				logger.Warn().Str("event", "tenant_key_empty").Int64("version", c.Version).Str("tenant", t.Name).Int("index", i).Send()
			case !taken:
				c.tenantByKey[key] = t.Name
			case owner != t.Name:
				logger.Warn().Str("event", "tenant_key_shared").Int64("version", c.Version).Str("tenant", owner).
					Str("ignored_for", t.Name).Int("index", i).Send()
			}
		}
	}
}

// emptyKey is the hash of a key without characters.
var emptyKey = HashKey("")
