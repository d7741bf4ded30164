// Package zone describes regions, availability zones and the distance between them.
package zone

import (
	"sort"

	"github.com/go-faster/errors"
)

// Name names an availability zone, for example "lom-bergamo".
type Name string

// Region names a region, for example "lombardy".
type Region string

// Distance orders how far apart two availability zones are.
type Distance int

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	CrossRegion
)

// String returns the metric label of d.
func (d Distance) String() string {
	switch d {
	case SameZone:
		return "same_zone"
	case SameRegion:
		return "same_region"
	default:
		return "cross_region"
	}
}

// Topology maps availability zones to regions. It is immutable.
type Topology struct {
	regions map[Name]Region
}

// NewTopology builds a Topology from the zones of each region. It fails if a zone is
// listed twice.
func NewTopology(regions map[Region][]Name) (*Topology, error) {
	t := &Topology{regions: make(map[Name]Region)}
	for r, names := range regions {
		for _, n := range names {
			if other, dup := t.regions[n]; dup {
				return nil, errors.Errorf("zone %q is in regions %q and %q", n, other, r)
			}
			t.regions[n] = r
		}
	}
	return t, nil
}

// Region returns the region of zone n, and false if n is unknown.
func (t *Topology) Region(n Name) (Region, bool) {
	r, ok := t.regions[n]
	return r, ok
}

// Regions returns all regions in sorted order.
func (t *Topology) Regions() []Region {
	seen := make(map[Region]bool)
	var out []Region
	for _, r := range t.regions {
		if !seen[r] {
			seen[r] = true
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Zones returns the zones of region r in sorted order, none if r is unknown.
func (t *Topology) Zones(r Region) []Name {
	var out []Name
	for n, rr := range t.regions {
		if rr == r {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Distance returns how far apart a and b are. Two different zones of which one is
// unknown count as CrossRegion.
func (t *Topology) Distance(a, b Name) Distance {
	if a == b {
		return SameZone
	}
	ra, oka := t.regions[a]
	rb, okb := t.regions[b]
	if oka && okb && ra == rb {
		return SameRegion
	}
	return CrossRegion
}
