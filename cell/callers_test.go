package cell

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/sched"
)

// TestOwnerOfSharedKey guards against daemons that take one key for different tenants, or for another one when the list is
// in another order, against tenants that a call without a key matches, and against keys in the log.
func TestOwnerOfSharedKey(t *testing.T) {
	tenant := func(name string, keys ...string) Tenant {
		result := Tenant{Tenant: sched.Tenant{Name: name}}
		for _, k := range keys {
			result.Keys = append(result.Keys, HashKey(k))
		}
		return result
	}
	tenants := []Tenant{tenant("b", "shared-key", "b-key"), tenant("a", "shared-key", "a-key"), tenant("", "nameless"), tenant("c", "", "c-key"),
		tenant("a", "a-second")}
	for range 2 {
		var out bytes.Buffer
		c := Config{Tenants: tenants}
		c.indexKeys(zerolog.New(&out))
		for key, want := range map[string]string{"shared-key": "a", "a-key": "a", "b-key": "b", "c-key": "c", "a-second": "a", "nameless": "", "": "", "x": ""} {
			if got, ok := c.TenantOf(HashKey(key)); got != want || ok != (want != "") {
				t.Errorf("key %q is of %q, %v; want %q", key, got, ok, want)
			}
		}
		for _, event := range []string{"tenant_key_shared", "tenant_without_name", "tenant_key_empty"} {
			if strings.Count(out.String(), event) != 1 {
				t.Errorf("the log has not one line of %s:\n%s", event, &out)
			}
		}
		for _, key := range []string{"shared-key", "a-key", "nameless"} {
			if strings.Contains(out.String(), key) {
				t.Errorf("the log has key %s", key)
			}
		}
		tenants[0], tenants[1] = tenants[1], tenants[0]
	}
	if _, ok := (&Config{}).TenantOf(HashKey("x")); ok {
		t.Error("a configuration without tenants knows a key")
	}
}

// TestWhoSeesAJob guards against callers that see or stop jobs of another tenant, and against callers that lose theirs when
// the configuration gets its first tenants, or has none any more.
func TestWhoSeesAJob(t *testing.T) {
	for _, tc := range []struct {
		who  Caller
		job  string
		want bool
	}{
		{Caller{Tenant: "a"}, "a", true}, {Caller{Tenant: "a"}, "b", false}, {Caller{Tenant: "a"}, "", true},
		{Caller{}, "a", false}, {Caller{}, "", true}, {Caller{AnyTenant: true}, "a", true}, {Caller{AnyTenant: true}, "", true},
	} {
		received := tc.who.sign(&call{}).caller()
		if got := received.sees(tc.job); got != tc.want {
			t.Errorf("caller %+v, job of %q: %v, want %v", tc.who, tc.job, got, tc.want)
		}
	}
}
