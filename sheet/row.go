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

// row is one row of the sheet. A cell that is present but must not be parsed, because a
// fault of it was reported already, holds "\x00".
type row struct {
	num    int // as a spreadsheet shows it, from 1
	kind   string
	cells  map[string]string // text of each cell that is not empty, by column name
	faulty bool              // has a fault, so its entry is not added to the sheet
}

// addFault reports a fault of the cell in column col, or of the row if col is "", and
// marks the row as faulty.
func (p *parser) addFault(r *row, col, found, allowed string) {
	r.faulty = true
	colIndex, ok := p.columnIndex[col]
	if !ok {
		colIndex = -1
	}
	p.faults.add(r.num, colIndex, col, excerpt(found), allowed)
}

// readRow checks one row and adds its entry to the sheet if it has no fault.
func (p *parser) readRow(cells []cell) {
	r := &row{num: cells[0].row, cells: make(map[string]string)}
	for _, c := range cells {
		text := trimSpaces(c.text)
		if text == "" {
			continue
		}
		if c.col >= len(p.header) || p.header[c.col] == "" {
			if c.col >= len(p.header) {
				p.faults.add(r.num, c.col, "", excerpt(text), "an empty cell; the column has no header")
			}
			continue // readHeader has reported an unknown header
		}
		if isFormula(text) && p.header[c.col] != colNote {
			p.addFault(r, p.header[c.col], text, allowNoFormula)
			text = "\x00" // present, but must not be parsed; see row
		}
		r.cells[p.header[c.col]] = text
	}
	if p.endSeen {
		p.addFault(r, "", "a row after the end row", "nothing after the end row")
		return
	}
	r.kind = strings.ToLower(r.cells[colKind])
	l, ok := layouts[r.kind]
	if r.kind != kindEnd {
		p.sheet.Rows++
	}
	if !ok {
		p.reportUnknownKind(r)
		return
	}
	p.checkColumns(r, l)
	if r.kind != kindEnd {
		p.checkDay(r)
	}
	p.readKind(r)
}

// reportUnknownKind reports a row whose kind does not exist.
func (p *parser) reportUnknownKind(r *row) {
	if r.kind == "\x00" {
		return
	}
	allowed := strings.Join(kindNames, ", ")
	if n := nearestName(r.kind, kindNames); n != "" && r.kind != "" {
		allowed += "; perhaps " + n
	}
	p.addFault(r, colKind, r.cells[colKind], allowed)
}

// checkColumns reports required cells that are empty and cells that the kind of row
// does not have.
func (p *parser) checkColumns(r *row, l layout) {
	for _, col := range l.required {
		if _, ok := r.cells[col]; !ok {
			p.addFault(r, col, "", "a value; kind "+r.kind+" needs "+col)
		}
	}
	for col, text := range r.cells {
		if col == colKind || col == colDay || col == colNote || slices.Contains(l.required, col) || slices.Contains(l.optional, col) {
			continue
		}
		if text != "\x00" {
			p.addFault(r, col, text, "an empty cell; kind "+r.kind+" has no "+col)
		}
	}
}

// checkDay checks that the row carries the date of the sheet.
func (p *parser) checkDay(r *row) {
	text := r.cells[colDay]
	if text == "\x00" {
		return
	}
	if day, ok := parseDay(text); !ok {
		p.addFault(r, colDay, text, "the date "+p.opts.Day+", as YYYY-MM-DD, DD/MM/YYYY or DD.MM.YYYY")
	} else if day != p.opts.Day {
		p.addFault(r, colDay, text, "the date of this sheet, "+p.opts.Day)
	}
}

// parseCell parses the cell in column col and reports a fault, with allowed, if parse
// rejects it. It returns def for a faulty cell and for an empty one, which
// checkColumns has reported if the cell is required.
func parseCell[T any](p *parser, r *row, col, allowed string, def T, parse func(string) (T, bool)) T {
	text, ok := r.cells[col]
	if !ok || text == "\x00" {
		return def
	}
	v, ok := parse(text)
	if !ok {
		p.addFault(r, col, text, allowed)
		return def
	}
	return v
}

// wholeNumber parses a cell that holds a whole number from low to high.
func (p *parser) wholeNumber(r *row, col string, def, low, high int64) int64 {
	return parseCell(p, r, col, fmt.Sprintf("a whole number from %d to %d", low, high), def, func(s string) (int64, bool) {
		v, ok := parseWholeNumber(s)
		return v, ok && v >= low && v <= high
	})
}

// name parses a cell that holds a name.
func (p *parser) name(r *row, col string) string {
	return parseCell(p, r, col, allowName, "", func(s string) (string, bool) { return s, validName(s) })
}

// resources parses the cells with what one task, or a team's quota, amounts to.
func (p *parser) resources(r *row) machine.Resources {
	return machine.Resources{
		CPUMilli:     parseCell(p, r, colCPU, allowCPU, 0, parseCPU),
		MemoryMiB:    parseCell(p, r, colMemory, allowMemory, 0, parseMemory),
		Accelerators: p.wholeNumber(r, colAccel, 0, 0, 1_000_000),
	}
}

// region parses the region cell, a region of the deployment in any case.
func (p *parser) region(r *row) zone.Region {
	regions := p.opts.Topology.Regions()
	return parseCell(p, r, colRegion, fmt.Sprintf("a region of the deployment: %v", regions), "", func(s string) (zone.Region, bool) {
		reg := zone.Region(strings.ToLower(s))
		return reg, slices.Contains(regions, reg)
	})
}

// checkUnique records a key, and reports it if an earlier row of this kind uses it.
// Keys that differ only in case count as the same, because planners do not tell them
// apart. The exact spelling is recorded too, for hasTeamRow.
func (p *parser) checkUnique(r *row, col, kind, key string) {
	foldedKey := kind + " " + strings.ToLower(key)
	p.exactKeys[kind+" "+key] = true
	if first, dup := p.firstRow[foldedKey]; dup {
		p.addFault(r, col, key, fmt.Sprintf("each %s once; row %d has it already", kind, first))
		return
	}
	p.firstRow[foldedKey] = r.num
}

// readKind reads the cells of the row's kind. Rows of kind limit are read later, by
// checkAcrossRows.
func (p *parser) readKind(r *row) {
	switch r.kind {
	case kindTeam:
		t := config.Team{Name: p.name(r, colTeam), Home: p.region(r), Quota: p.resources(r), Weight: int(p.wholeNumber(r, colWeight, 0, 1, 10_000))}
		p.checkUnique(r, colTeam, kindTeam, t.Name)
		if !r.faulty {
			p.sheet.Content.Teams[t.Name] = t
		}
	case kindCustomer:
		c := config.Customer{Name: p.name(r, colName), Home: p.region(r), Weight: int(p.wholeNumber(r, colWeight, 0, 1, 10_000)), Limits: map[string]config.Limit{}}
		p.checkUnique(r, colName, kindCustomer, c.Name)
		if !r.faulty {
			p.sheet.Content.Customers[c.Name] = c
		}
	case kindLimit:
		p.limitRows = append(p.limitRows, *r)
	case kindService, kindBatch, kindGang:
		p.readIntention(r)
	case kindDrain:
		p.readDrain(r)
	case kindEnd:
		p.readEnd(r)
	}
}

// readEnd checks that the count of the end row is the number of rows before it, which
// shows that no row was lost.
func (p *parser) readEnd(r *row) {
	p.endSeen = true
	if n := p.wholeNumber(r, colCount, -1, 0, maxWholeNumber); n >= 0 && n != int64(p.sheet.Rows) {
		p.addFault(r, colCount, r.cells[colCount], strconv.Itoa(p.sheet.Rows)+", the number of rows before the end row; rows are missing or added")
	}
}

// readIntention reads a row of kind service, batch or gang.
func (p *parser) readIntention(r *row) {
	intention := config.Intention{Name: p.name(r, colName), Day: p.opts.Day, Job: workload.Job{
		Team: p.name(r, colTeam), Family: parseCell(p, r, colFamily, allowName, "", func(s string) (string, bool) { return s, validName(s) }),
		Kind: workload.Kind(r.kind), Count: int(p.wholeNumber(r, colCount, 0, 1, workload.MaxTasksPerJob)),
		Resources: p.resources(r), Priority: parseCell(p, r, colPriority, allowPriority, workload.Normal, parsePriority),
		RunTime: parseCell(p, r, colRunTime, allowDuration, 0, parseDuration), Zones: p.zones(r),
		Retries: int(p.wholeNumber(r, colRetries, 0, 0, 100)), Preemptible: parseCell(p, r, colPreempt, allowBool, false, parseBool),
	}}
	intention.StartTime = parseCell(p, r, colAt, allowClock, "", parseClock)
	intention.Days = parseCell(p, r, colDays, allowDays, nil, parseDays)
	intention.Grace = parseCell(p, r, colGrace, allowDuration+", above 0 and at most 31d", 0, func(s string) (time.Duration, bool) {
		d, ok := parseDuration(s)
		return d, ok && d > 0 && d <= config.MaxGrace
	})
	p.checkStartTime(r, intention)
	p.checkSize(r, intention.Job.Resources)
	key := config.IntentionKey(intention.Job.Team, intention.Name)
	if intention.Name != "" && intention.Job.Team != "" {
		p.checkUnique(r, colName, "intention", key)
	}
	p.intentionRows = append(p.intentionRows, intentionRow{*r, key})
	if !r.faulty {
		p.sheet.Content.Intentions[key] = intention
	}
}

// checkStartTime reports a gang with a start time but no grace window, or with a grace
// window or days but no start time. The layouts of the other kinds require or exclude a
// start time together with a grace window.
func (p *parser) checkStartTime(r *row, intention config.Intention) {
	_, at := r.cells[colAt]
	_, grace := r.cells[colGrace]
	_, days := r.cells[colDays]
	switch {
	case r.kind == kindGang && at && !grace:
		p.addFault(r, colGrace, "", allowDuration+"; a gang with a start time needs a grace window")
	case r.kind == kindGang && !at && (grace || days):
		p.addFault(r, colAt, "", allowClock+"; days and grace need a start time")
	}
}

// checkSize reports a task that does not fit on the largest worker.
func (p *parser) checkSize(r *row, need machine.Resources) {
	max := p.opts.LargestWorker
	if max.IsZero() {
		return
	}
	checkDimension := func(col string, amount, max int64, unit string) {
		if amount > max {
			p.addFault(r, col, r.cells[col], fmt.Sprintf("at most %d%s, the size of the largest worker", max, unit))
		}
	}
	checkDimension(colCPU, need.CPUMilli, max.CPUMilli, "m")
	checkDimension(colMemory, need.MemoryMiB, max.MemoryMiB, " MiB")
	checkDimension(colAccel, need.Accelerators, max.Accelerators, "")
}

// zones parses the zones cell: different zones of the deployment, which it sorts.
func (p *parser) zones(r *row) []zone.Name {
	var all []zone.Name
	for _, reg := range p.opts.Topology.Regions() {
		all = append(all, p.opts.Topology.Zones(reg)...)
	}
	allowed := fmt.Sprintf("different zones of the deployment: %v", all)
	return parseCell(p, r, colZones, allowed, nil, func(s string) ([]zone.Name, bool) {
		var out []zone.Name
		for _, f := range splitList(s) {
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

// readDrain reads a row of kind drain.
func (p *parser) readDrain(r *row) {
	d := config.Drain{Reason: r.cells[colReason]}
	d.Target = parseCell(p, r, colTarget, "a host id, zone/<zone> or rack/<zone>/<rack> with a zone of the deployment", "", p.drainTarget)
	if len(d.Reason) > 1024 {
		p.addFault(r, colReason, d.Reason, "at most 1024 bytes")
	}
	if d.Target != "" {
		p.checkUnique(r, colTarget, kindDrain, d.Target)
		p.drainRows = append(p.drainRows, *r)
	}
	if !r.faulty {
		p.sheet.Content.Drains[d.Target] = d
	}
}

// drainTarget accepts a host id, "zone/<zone>" and "rack/<zone>/<rack>".
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
