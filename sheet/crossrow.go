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

// checkAcrossRows reports faults that show only when rows are compared.
func (p *parser) checkAcrossRows() {
	for i := range p.limitRows {
		p.readLimit(&p.limitRows[i])
	}
	drained := p.checkDrains()
	used := make(map[string]machine.Resources)
	for i := range p.intentionRows {
		p.checkIntention(&p.intentionRows[i], drained, used)
	}
}

// readLimit checks a row of kind limit and adds the limit to its customer. It runs
// after all rows are read, because the customer's row may follow.
func (p *parser) readLimit(r *row) {
	name := p.name(r, colName)
	class := parseCell(p, r, colClass, "a request class: "+strings.Join(requestClasses, ", "), "", func(s string) (string, bool) {
		s = strings.ToLower(s)
		return s, slices.Contains(requestClasses, s)
	})
	l := config.Limit{
		PerSecond:  parseCell(p, r, colPerSecond, allowRate, 0, parseRate),
		Burst:      int(p.wholeNumber(r, colBurst, 0, 1, 1_000_000)),
		Concurrent: int(p.wholeNumber(r, colConcurrent, 0, 1, 1_000_000)),
	}
	_, rate := r.cells[colPerSecond]
	_, burst := r.cells[colBurst]
	_, concurrent := r.cells[colConcurrent]
	switch {
	case !rate && !concurrent:
		p.addFault(r, colPerSecond, "", allowRate+"; a limit needs per_second or concurrent")
	case burst && l.PerSecond == 0:
		p.addFault(r, colBurst, r.cells[colBurst], "an empty cell; a burst needs a per_second above 0")
	}
	if name != "" && class != "" {
		p.checkUnique(r, colClass, kindLimit, name+"/"+class)
	}
	c, ok := p.sheet.Content.Customers[name]
	if !ok && name != "" && p.firstRow[kindCustomer+" "+strings.ToLower(name)] == 0 {
		p.addFault(r, colName, name, "a customer that has a row of kind customer")
	}
	if ok && !r.faulty {
		c.Limits[class] = l
	}
}

// checkDrains checks the drain rows against each other and the topology. It returns
// the zones that are drained as a whole.
func (p *parser) checkDrains() map[zone.Name]bool {
	drained := make(map[zone.Name]bool)
	for _, r := range p.drainRows {
		if z, ok := strings.CutPrefix(r.cells[colTarget], "zone/"); ok {
			drained[zone.Name(z)] = true
		}
	}
	for i := range p.drainRows {
		r := &p.drainRows[i]
		target := r.cells[colTarget]
		if parts := strings.Split(target, "/"); len(parts) == 3 && drained[zone.Name(parts[1])] {
			p.addFault(r, colTarget, target, "one drain; zone "+parts[1]+" is drained whole by another row")
		}
		if z, ok := strings.CutPrefix(target, "zone/"); ok {
			reg, _ := p.opts.Topology.Region(zone.Name(z))
			if allIn(p.opts.Topology.Zones(reg), drained) {
				p.addFault(r, colTarget, target, fmt.Sprintf("at least one zone of region %s left in use", reg))
			}
		}
	}
	return drained
}

// allIn reports whether every zone of zones is in the set.
func allIn(zones []zone.Name, in map[zone.Name]bool) bool {
	return !slices.ContainsFunc(zones, func(z zone.Name) bool { return !in[z] })
}

// checkIntention checks an intention against its team, the zones and the drains. used
// holds the resources of the services so far, by team.
func (p *parser) checkIntention(r *intentionRow, drained map[zone.Name]bool, used map[string]machine.Resources) {
	name := r.cells[colTeam]
	team, ok := p.sheet.Content.Teams[name]
	if !ok {
		if validName(name) && p.firstRow[kindTeam+" "+strings.ToLower(name)] == 0 {
			p.addFault(&r.row, colTeam, name, "a team that has a row of kind team")
		} else if validName(name) && !p.hasTeamRow(name) {
			p.addFault(&r.row, colTeam, name, "the spelling of the row of kind team, upper and lower case included")
		}
		return
	}
	intention, ok := p.sheet.Content.Intentions[r.key]
	if !ok || r.faulty {
		return
	}
	p.checkZones(r, intention, team, drained)
	p.checkQuota(r, intention, team, used)
}

// hasTeamRow reports whether a row of kind team has name in this spelling, upper and
// lower case included. The row may have faults.
func (p *parser) hasTeamRow(name string) bool { return p.exactKeys[kindTeam+" "+name] }

// checkZones checks that an intention names only zones of its team's home region, and
// not only drained ones.
func (p *parser) checkZones(r *intentionRow, intention config.Intention, team config.Team, drained map[zone.Name]bool) {
	home := p.opts.Topology.Zones(team.Home)
	for _, z := range intention.Job.Zones {
		if !slices.Contains(home, z) {
			p.addFault(&r.row, colZones, r.cells[colZones], fmt.Sprintf("zones of region %s, the home of team %s: %v", team.Home, team.Name, home))
			return
		}
	}
	if len(intention.Job.Zones) > 0 && allIn(intention.Job.Zones, drained) {
		p.addFault(&r.row, colZones, r.cells[colZones], "at least one zone that no drain row empties")
	}
}

// checkQuota reports a job that can never fit its team's quota. The services of a
// team run at the same time, so the service with which their sum exceeds the quota
// and those after it are reported too.
func (p *parser) checkQuota(r *intentionRow, intention config.Intention, team config.Team, used map[string]machine.Resources) {
	total := intention.Job.Resources.Scale(int64(intention.Job.Count))
	needed, neededBy, col := total, "this row needs", colCount
	switch intention.Job.Kind {
	case workload.Batch:
		needed, neededBy = intention.Job.Resources, "one task of this row needs" // the tasks of a batch can run one after another
		col = exceededColumn(needed, team.Quota)
	case workload.Service:
		used[team.Name] = used[team.Name].Add(total)
		needed, neededBy = used[team.Name], "the services up to this row need"
	}
	if !needed.Fits(team.Quota) {
		p.addFault(&r.row, col, r.cells[col], fmt.Sprintf("what fits the quota of team %s (%s); %s %s", team.Name, team.Quota, neededBy, needed))
	}
}

// exceededColumn returns the column of the first resource of which need exceeds quota.
func exceededColumn(need, quota machine.Resources) string {
	switch {
	case need.CPUMilli > quota.CPUMilli:
		return colCPU
	case need.MemoryMiB > quota.MemoryMiB:
		return colMemory
	}
	return colAccel
}
