package sheet

import (
	"strings"
)

// The columns. docs/sheet.md describes them with their units.
const (
	colKind       = "kind"
	colDay        = "day"
	colTeam       = "team"
	colName       = "name"
	colCount      = "count"
	colCPU        = "cpu"
	colMemory     = "memory"
	colAccel      = "accelerators"
	colPriority   = "priority"
	colAt         = "at"
	colDays       = "days"
	colGrace      = "grace"
	colRunTime    = "run_time"
	colZones      = "zones"
	colRetries    = "retries"
	colPreempt    = "preemptible"
	colFamily     = "family"
	colRegion     = "region"
	colWeight     = "weight"
	colClass      = "class"
	colPerSecond  = "per_second"
	colBurst      = "burst"
	colConcurrent = "concurrent"
	colTarget     = "target"
	colReason     = "reason"
	colNote       = "note"
)

// columns is the closed list of columns.
var columns = func() map[string]bool {
	out := make(map[string]bool)
	for _, c := range []string{
		colKind, colDay, colTeam, colName, colCount, colCPU, colMemory, colAccel, colPriority, colAt, colDays,
		colGrace, colRunTime, colZones, colRetries, colPreempt, colFamily, colRegion, colWeight, colClass,
		colPerSecond, colBurst, colConcurrent, colTarget, colReason, colNote,
	} {
		out[c] = true
	}
	return out
}()

// The kinds of row.
const (
	kindTeam     = "team"
	kindCustomer = "customer"
	kindLimit    = "limit"
	kindService  = "service"
	kindBatch    = "batch"
	kindGang     = "gang"
	kindDrain    = "drain"
	kindEnd      = "end"
)

// layout lists the columns that a kind of row needs and those that it may have.
// kind, day and note are allowed everywhere; any other column must be empty.
type layout struct {
	required, optional []string
}

var layouts = map[string]layout{
	kindTeam:     {[]string{colTeam, colRegion, colCPU, colMemory}, []string{colAccel, colWeight}},
	kindCustomer: {[]string{colName, colRegion}, []string{colWeight}},
	kindLimit:    {[]string{colName, colClass}, []string{colPerSecond, colBurst, colConcurrent}},
	kindService: {[]string{colTeam, colName, colCount, colCPU, colMemory},
		[]string{colAccel, colPriority, colZones, colRetries, colPreempt, colFamily}},
	kindBatch: {[]string{colTeam, colName, colCount, colCPU, colMemory, colAt, colGrace},
		[]string{colAccel, colPriority, colZones, colRetries, colPreempt, colFamily, colDays, colRunTime}},
	kindGang: {[]string{colTeam, colName, colCount, colCPU, colMemory},
		[]string{colAccel, colPriority, colZones, colRetries, colPreempt, colFamily, colDays, colRunTime, colAt, colGrace}},
	kindDrain: {[]string{colTarget, colReason}, nil},
	kindEnd:   {[]string{colCount}, nil},
}

var kindNames = []string{kindTeam, kindCustomer, kindLimit, kindService, kindBatch, kindGang, kindDrain, kindEnd}

// requestClasses are the classes of docs/design.md section 7, and "*" for all others.
var requestClasses = []string{"valuation", "reconciliation", "batch", "quote", "nudge", "*"}

// normalizeHeader maps the spellings of a header to its name.
func normalizeHeader(s string) string {
	s = strings.ToLower(clean(s))
	return strings.NewReplacer(" ", "_", "-", "_").Replace(s)
}

// spaces are the blanks that spreadsheets put into cells, among them the no-break
// spaces of digit groups and a byte-order mark in the middle of joined files.
const spaces = " \t\r\n\u00a0\u2007\u2009\u202f\u200b\ufeff"

func clean(s string) string { return strings.Trim(s, spaces) }

// nearest returns the name of list that is the fewest edits away from s, if at most two.
func nearest(s string, list []string) string {
	best, bestDist := "", 3
	for _, l := range list {
		if d := editDistance(s, l); d < bestDist {
			best, bestDist = l, d
		}
	}
	return best
}

func editDistance(a, b string) int {
	const far = 99
	if len(a) > 40 || len(a)-len(b) > 2 || len(b)-len(a) > 2 {
		return far
	}
	prev := make([]int, len(b)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := range len(a) {
		cur := make([]int, len(b)+1)
		cur[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			cur[j+1] = min(prev[j]+cost, prev[j+1]+1, cur[j]+1)
		}
		prev = cur
	}
	return prev[len(b)]
}
