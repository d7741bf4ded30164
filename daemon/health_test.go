package daemon

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/zone"
)

// problemNames returns the names of problems in their order.
func problemNames(problems []Problem) []string {
	var names []string
	for _, p := range problems {
		names = append(names, p.Name)
	}
	return names
}

// Guards against a key that doctor reports as served although it has no owner, its owner is
// dead, has left or is not a member, or this daemon owns it without a confirmed tenure.
func TestKeyProblemsByOwnerState(t *testing.T) {
	members := []link.Member{
		{ID: "self", State: link.Alive}, {ID: "up", State: link.Alive}, {ID: "late", State: link.Suspected},
		{ID: "dead", State: link.Dead}, {ID: "left", State: link.Left},
	}
	for _, c := range []struct {
		owner string
		held  bool
		want  []string
	}{
		{"self", true, nil}, {"up", false, nil}, {"late", false, nil},
		{"self", false, []string{"rack_without_tenure"}}, {"", false, []string{"rack_without_owner"}},
		{"dead", false, []string{"rack_owner_dead"}}, {"left", false, []string{"rack_owner_dead"}},
		{"unknown", false, []string{"rack_owner_dead"}},
	} {
		got := keyProblems("self", []KeyOwner{{Key: "rack/a/r1", Owner: c.owner, Held: c.held}}, members)
		if diff := cmp.Diff(c.want, problemNames(got)); diff != "" {
			t.Errorf("problems for owner %q, held here %v (-want +got):\n%s", c.owner, c.held, diff)
		}
	}
}

// Guards against a region that is not reported although it has no daemon, or only dead ones.
func TestRegionProblems(t *testing.T) {
	regions := map[zone.Region][]zone.Name{"r1": {"a"}, "r2": {"b"}, "r3": {"c"}}
	members := []link.Member{
		{ID: "d1", Region: "r1", State: link.Alive}, {ID: "d2", Region: "r2", State: link.Dead},
	}
	want := []string{"region_without_daemon", "region_without_daemon"}
	if diff := cmp.Diff(want, problemNames(regionProblems(regions, members))); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}
