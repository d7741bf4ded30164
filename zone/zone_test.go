package zone

import "testing"

// Guards against a zone listed under two regions, which would make distances ambiguous.
func TestNewTopologyRefusesZoneInTwoRegions(t *testing.T) {
	_, err := NewTopology(map[Region][]Name{"lombardy": {"a"}, "veneto": {"a"}})
	if err == nil {
		t.Fatal("a zone in two regions was accepted")
	}
}

// Guards against cross-region traffic that is counted as traffic within a region or zone.
func TestDistance(t *testing.T) {
	topo, err := NewTopology(map[Region][]Name{"lombardy": {"lom-bergamo", "lom-monza"}, "veneto": {"ven-treviso"}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		a, b Name
		want Distance
	}{
		{"lom-bergamo", "lom-bergamo", SameZone},
		{"lom-bergamo", "lom-monza", SameRegion},
		{"lom-bergamo", "ven-treviso", CrossRegion},
		{"lom-bergamo", "unknown", CrossRegion},
	} {
		if got := topo.Distance(c.a, c.b); got != c.want {
			t.Errorf("Distance(%s, %s) = %s, want %s", c.a, c.b, got, c.want)
		}
	}
}
