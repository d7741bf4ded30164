package sheet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// checkBetweenRows reports what is wrong only in view of other rows.
func (p *parser) checkBetweenRows() {
	for i := range p.limits {
		p.readLimit(&p.limits[i])
	}
	drained := p.checkDrains()
	used := make(map[string]machine.Resources)
	for i := range p.placed {
		p.checkPlaced(&p.placed[i], drained, used)
	}
}

// readLimit adds a limit to its customer, which may stand in a later row.
func (p *parser) readLimit(r *row) {
	name := p.name(r, colName)
	class := value(p, r, colClass, "a request class: "+strings.Join(requestClasses, ", "), "", func(s string) (string, bool) {
		s = strings.ToLower(s)
		return s, slices.Contains(requestClasses, s)
	})
	l := config.Limit{
		PerSecond:  value(p, r, colPerSecond, allowRate, 0, parseRate),
		Burst:      int(p.whole(r, colBurst, 0, 1, 1_000_000)),
		Concurrent: int(p.whole(r, colConcurrent, 0, 1, 1_000_000)),
	}
	_, rate := r.cells[colPerSecond]
	_, burst := r.cells[colBurst]
	_, concurrent := r.cells[colConcurrent]
	switch {
	case !rate && !concurrent:
		p.fault(r, colPerSecond, "", allowRate+"; a limit needs per_second or concurrent")
	case burst && l.PerSecond == 0:
		p.fault(r, colBurst, r.cells[colBurst], "an empty cell; a burst needs a per_second above 0")
	}
	if name != "" && class != "" {
		p.unique(r, colClass, kindLimit, name+"/"+class)
	}
	c, ok := p.sheet.Content.Customers[name]
	if !ok && name != "" && p.first[kindCustomer+" "+strings.ToLower(name)] == 0 {
		p.fault(r, colName, name, "a customer that has a row of kind customer")
	}
	if ok && !r.bad {
		c.Limits[class] = l
	}
}

// checkDrains returns the zones that are drained whole.
func (p *parser) checkDrains() map[zone.Name]bool {
	drained := make(map[zone.Name]bool)
	for _, r := range p.drains {
		if z, ok := strings.CutPrefix(r.cells[colTarget], "zone/"); ok {
			drained[zone.Name(z)] = true
		}
	}
	for i := range p.drains {
		r := &p.drains[i]
		target := r.cells[colTarget]
		if parts := strings.Split(target, "/"); len(parts) == 3 && drained[zone.Name(parts[1])] {
			p.fault(r, colTarget, target, "one drain; zone "+parts[1]+" is drained whole by another row")
		}
		if z, ok := strings.CutPrefix(target, "zone/"); ok {
			reg, _ := p.opts.Topology.Region(zone.Name(z))
			if all(p.opts.Topology.Zones(reg), drained) {
				p.fault(r, colTarget, target, fmt.Sprintf("at least one zone of region %s left in use", reg))
			}
		}
	}
	return drained
}

func all(zones []zone.Name, in map[zone.Name]bool) bool {
	return !slices.ContainsFunc(zones, func(z zone.Name) bool { return !in[z] })
}

// checkPlaced checks an intention against its team, the zones and the drains.
func (p *parser) checkPlaced(r *placedRow, drained map[zone.Name]bool, used map[string]machine.Resources) {
	name := r.cells[colTeam]
	team, ok := p.sheet.Content.Teams[name]
	if !ok {
		if validName(name) && p.first[kindTeam+" "+strings.ToLower(name)] == 0 {
			p.fault(&r.row, colTeam, name, "a team that has a row of kind team")
		} else if validName(name) && !p.hasTeamRow(name) {
			p.fault(&r.row, colTeam, name, "the spelling of the row of kind team, upper and lower case included")
		}
		return
	}
	it, ok := p.sheet.Content.Intentions[r.key]
	if !ok || r.bad {
		return
	}
	p.checkZones(r, it, team, drained)
	p.checkQuota(r, it, team, used)
}

// hasTeamRow reports a team row with the exact spelling, even a faulty one.
func (p *parser) hasTeamRow(name string) bool { return p.exact[kindTeam+" "+name] }

func (p *parser) checkZones(r *placedRow, it config.Intention, team config.Team, drained map[zone.Name]bool) {
	home := p.opts.Topology.Zones(team.Home)
	for _, z := range it.Job.Zones {
		if !slices.Contains(home, z) {
			p.fault(&r.row, colZones, r.cells[colZones], fmt.Sprintf("zones of region %s, the home of team %s: %v", team.Home, team.Name, home))
			return
		}
	}
	if len(it.Job.Zones) > 0 && all(it.Job.Zones, drained) {
		p.fault(&r.row, colZones, r.cells[colZones], "at least one zone that no drain row empties")
	}
}

// checkQuota reports a job that can never fit its team's quota, and the service
// that takes the services of a team above it, since they all run at once.
func (p *parser) checkQuota(r *placedRow, it config.Intention, team config.Team, used map[string]machine.Resources) {
	whole := it.Job.Resources.Scale(int64(it.Job.Count))
	need, what, col := whole, "this row", colCount
	switch it.Job.Kind {
	case workload.Batch:
		need, what = it.Job.Resources, "one task of this row" // the tasks of a batch may run one after another
		col = widest(need, team.Quota)
	case workload.Service:
		used[team.Name] = used[team.Name].Add(whole)
		need, what = used[team.Name], "the services up to this row"
	}
	if !need.Fits(team.Quota) {
		p.fault(&r.row, col, r.cells[col], fmt.Sprintf("what fits the quota of team %s (%s); %s need %s", team.Name, team.Quota, what, need))
	}
}

// widest returns the column of the first dimension in which need exceeds quota.
func widest(need, quota machine.Resources) string {
	switch {
	case need.CPUMilli > quota.CPUMilli:
		return colCPU
	case need.MemoryMiB > quota.MemoryMiB:
		return colMemory
	}
	return colAccel
}
