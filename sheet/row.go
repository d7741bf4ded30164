package sheet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// row is one row with its cells by column name.
type row struct {
	num   int
	kind  string
	cells map[string]string
	bad   bool // a fault was found; checks between rows skip it
}

func (p *parser) fault(r *row, col, found, allowed string) {
	r.bad = true
	at, ok := p.column[col]
	if !ok {
		at = -1
	}
	p.faults.add(r.num, at, col, excerpt(found), allowed)
}

// readRow checks one row and adds its entry to the sheet.
func (p *parser) readRow(cells []cell) {
	r := &row{num: cells[0].row, cells: make(map[string]string)}
	for _, c := range cells {
		text := clean(c.text)
		if text == "" {
			continue
		}
		if c.col >= len(p.header) || p.header[c.col] == "" {
			if c.col >= len(p.header) {
				p.faults.add(r.num, c.col, "", excerpt(text), "an empty cell; the column has no header")
			}
			continue // an unknown header is already reported
		}
		if isFormula(text) && p.header[c.col] != colNote {
			p.fault(r, p.header[c.col], text, allowNoFormula)
			text = "\x00" // present, but not to be parsed again
		}
		r.cells[p.header[c.col]] = text
	}
	if p.ended {
		p.fault(r, "", "a row after the end row", "nothing after the end row")
		return
	}
	r.kind = strings.ToLower(r.cells[colKind])
	l, ok := layouts[r.kind]
	if r.kind != kindEnd {
		p.sheet.Rows++
	}
	if !ok {
		p.unknownKind(r)
		return
	}
	p.checkColumns(r, l)
	if r.kind != kindEnd {
		p.checkDay(r)
	}
	p.readKind(r)
}

func (p *parser) unknownKind(r *row) {
	if r.kind == "\x00" {
		return
	}
	allowed := strings.Join(kindNames, ", ")
	if n := nearest(r.kind, kindNames); n != "" && r.kind != "" {
		allowed += "; perhaps " + n
	}
	p.fault(r, colKind, r.cells[colKind], allowed)
}

func (p *parser) checkColumns(r *row, l layout) {
	for _, col := range l.required {
		if _, ok := r.cells[col]; !ok {
			p.fault(r, col, "", "a value; kind "+r.kind+" needs "+col)
		}
	}
	for col, text := range r.cells {
		if col == colKind || col == colDay || col == colNote || slices.Contains(l.required, col) || slices.Contains(l.optional, col) {
			continue
		}
		if text != "\x00" {
			p.fault(r, col, text, "an empty cell; kind "+r.kind+" has no "+col)
		}
	}
}

func (p *parser) checkDay(r *row) {
	text := r.cells[colDay]
	if text == "\x00" {
		return
	}
	if day, ok := parseDay(text); !ok {
		p.fault(r, colDay, text, "the date "+p.opts.Day+", as YYYY-MM-DD, DD/MM/YYYY or DD.MM.YYYY")
	} else if day != p.opts.Day {
		p.fault(r, colDay, text, "the date of this sheet, "+p.opts.Day)
	}
}

// value parses a cell. An empty one gives def; a required one is already reported.
func value[T any](p *parser, r *row, col, allowed string, def T, parse func(string) (T, bool)) T {
	text, ok := r.cells[col]
	if !ok || text == "\x00" {
		return def
	}
	v, ok := parse(text)
	if !ok {
		p.fault(r, col, text, allowed)
		return def
	}
	return v
}

func (p *parser) whole(r *row, col string, def, low, high int64) int64 {
	return value(p, r, col, fmt.Sprintf("a whole number from %d to %d", low, high), def, func(s string) (int64, bool) {
		v, ok := parseWhole(s)
		return v, ok && v >= low && v <= high
	})
}

func (p *parser) name(r *row, col string) string {
	return value(p, r, col, allowName, "", func(s string) (string, bool) { return s, validName(s) })
}

func (p *parser) resources(r *row) machine.Resources {
	return machine.Resources{
		CPUMilli:     value(p, r, colCPU, allowCPU, 0, parseCPU),
		MemoryMiB:    value(p, r, colMemory, allowMemory, 0, parseMemory),
		Accelerators: p.whole(r, colAccel, 0, 0, 1_000_000),
	}
}

func (p *parser) region(r *row) zone.Region {
	regions := p.opts.Topology.Regions()
	return value(p, r, colRegion, fmt.Sprintf("a region of the deployment: %v", regions), "", func(s string) (zone.Region, bool) {
		reg := zone.Region(strings.ToLower(s))
		return reg, slices.Contains(regions, reg)
	})
}

// unique reports a key that an earlier row used. Keys that differ only in case
// are taken for one, because planners do not tell them apart.
func (p *parser) unique(r *row, col, kind, key string) {
	folded := kind + " " + strings.ToLower(key)
	p.exact[kind+" "+key] = true
	if first, dup := p.first[folded]; dup {
		p.fault(r, col, key, fmt.Sprintf("each %s once; row %d has it already", kind, first))
		return
	}
	p.first[folded] = r.num
}

func (p *parser) readKind(r *row) {
	switch r.kind {
	case kindTeam:
		t := config.Team{Name: p.name(r, colTeam), Home: p.region(r), Quota: p.resources(r), Weight: int(p.whole(r, colWeight, 0, 1, 10_000))}
		p.unique(r, colTeam, kindTeam, t.Name)
		if !r.bad {
			p.sheet.Content.Teams[t.Name] = t
		}
	case kindCustomer:
		c := config.Customer{Name: p.name(r, colName), Home: p.region(r), Weight: int(p.whole(r, colWeight, 0, 1, 10_000)), Limits: map[string]config.Limit{}}
		p.unique(r, colName, kindCustomer, c.Name)
		if !r.bad {
			p.sheet.Content.Customers[c.Name] = c
		}
	case kindLimit:
		p.limits = append(p.limits, *r)
	case kindService, kindBatch, kindGang:
		p.readIntention(r)
	case kindDrain:
		p.readDrain(r)
	case kindEnd:
		p.readEnd(r)
	}
}

func (p *parser) readEnd(r *row) {
	p.ended = true
	if n := p.whole(r, colCount, -1, 0, maxWhole); n >= 0 && n != int64(p.sheet.Rows) {
		p.fault(r, colCount, r.cells[colCount], strconv.Itoa(p.sheet.Rows)+", the number of rows before the end row; rows are missing or added")
	}
}

func (p *parser) readIntention(r *row) {
	it := config.Intention{Name: p.name(r, colName), Day: p.opts.Day, Job: workload.Job{
		Team: p.name(r, colTeam), Family: value(p, r, colFamily, allowName, "", func(s string) (string, bool) { return s, validName(s) }),
		Kind: workload.Kind(r.kind), Count: int(p.whole(r, colCount, 0, 1, workload.MaxTasksPerJob)),
		Resources: p.resources(r), Priority: value(p, r, colPriority, allowPriority, workload.Normal, parsePriority),
		RunTime: value(p, r, colRunTime, allowDuration, 0, parseDuration), Zones: p.zones(r),
		Retries: int(p.whole(r, colRetries, 0, 0, 100)), Preempt: value(p, r, colPreempt, allowBool, false, parseBool),
	}}
	it.StartTime = value(p, r, colAt, allowClock, "", parseClock)
	it.Days = value(p, r, colDays, allowDays, nil, parseDays)
	it.Grace = value(p, r, colGrace, allowDuration+", above 0 and at most 31d", 0, func(s string) (time.Duration, bool) {
		d, ok := parseDuration(s)
		return d, ok && d > 0 && d <= config.MaxGrace
	})
	p.checkCalendar(r, it)
	p.checkSize(r, it.Job.Resources)
	key := config.IntentionKey(it.Job.Team, it.Name)
	if it.Name != "" && it.Job.Team != "" {
		p.unique(r, colName, "intention", key)
	}
	p.placed = append(p.placed, placedRow{*r, key})
	if !r.bad {
		p.sheet.Content.Intentions[key] = it
	}
}

// checkCalendar reports a calendar that is given only in part.
func (p *parser) checkCalendar(r *row, it config.Intention) {
	_, at := r.cells[colAt]
	_, grace := r.cells[colGrace]
	_, days := r.cells[colDays]
	switch {
	case r.kind == kindGang && at && !grace:
		p.fault(r, colGrace, "", allowDuration+"; a gang with a start time needs a grace window")
	case r.kind == kindGang && !at && (grace || days):
		p.fault(r, colAt, "", allowClock+"; days and grace need a start time")
	}
}

// checkSize reports a task that no worker could ever hold.
func (p *parser) checkSize(r *row, need machine.Resources) {
	max := p.opts.Largest
	if max.IsZero() {
		return
	}
	over := func(col string, need, max int64, unit string) {
		if need > max {
			p.fault(r, col, r.cells[col], fmt.Sprintf("at most %d%s, the size of the largest worker", max, unit))
		}
	}
	over(colCPU, need.CPUMilli, max.CPUMilli, "m")
	over(colMemory, need.MemoryMiB, max.MemoryMiB, " MiB")
	over(colAccel, need.Accelerators, max.Accelerators, "")
}

func (p *parser) zones(r *row) []zone.Name {
	var all []zone.Name
	for _, reg := range p.opts.Topology.Regions() {
		all = append(all, p.opts.Topology.Zones(reg)...)
	}
	allowed := fmt.Sprintf("different zones of the deployment: %v", all)
	return value(p, r, colZones, allowed, nil, func(s string) ([]zone.Name, bool) {
		var out []zone.Name
		for _, f := range list(s) {
			z := zone.Name(strings.ToLower(f))
			if !slices.Contains(all, z) || slices.Contains(out, z) {
				return nil, false
			}
			out = append(out, z)
		}
		slices.Sort(out)
		return out, len(out) > 0
	})
}

func (p *parser) readDrain(r *row) {
	d := config.Drain{Reason: r.cells[colReason]}
	d.Target = value(p, r, colTarget, "a host id, zone/<zone> or rack/<zone>/<rack> with a zone of the deployment", "", p.drainTarget)
	if len(d.Reason) > 1024 {
		p.fault(r, colReason, d.Reason, "at most 1024 bytes")
	}
	if d.Target != "" {
		p.unique(r, colTarget, kindDrain, d.Target)
		p.drains = append(p.drains, *r)
	}
	if !r.bad {
		p.sheet.Content.Drains[d.Target] = d
	}
}

func (p *parser) drainTarget(s string) (string, bool) {
	parts := strings.Split(s, "/")
	if len(parts) == 1 {
		return s, validName(s)
	}
	_, known := p.opts.Topology.Region(zone.Name(parts[1]))
	switch parts[0] {
	case "zone":
		return s, known && len(parts) == 2
	case "rack":
		return s, known && len(parts) == 3 && validName(parts[2])
	}
	return "", false
}
