package sheet

import (
	"strings"
)

// The column names. docs/sheet.md describes the columns with their units.
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

// columns is the set of column names that a sheet may have.
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

// layout lists the columns that a row of one kind must have and those that it may
// have. kind, day and note are allowed in every row; all other cells must be empty.
type layout struct {
	required, optional []string
}

// layouts holds the layout of each kind of row.
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

// kindNames are the kinds of row in the order in which a fault lists them.
var kindNames = []string{kindTeam, kindCustomer, kindLimit, kindService, kindBatch, kindGang, kindDrain, kindEnd}

// requestClasses are the request classes of docs/design.md section 7. "*" stands for
// all classes without a limit of their own.
var requestClasses = []string{"valuation", "reconciliation", "batch", "quote", "nudge", "*"}

// normalizeHeader returns the column name for a header cell, whose spelling may differ
// in case, blanks and hyphens.
func normalizeHeader(s string) string {
	s = strings.ToLower(trimSpaces(s))
	return strings.NewReplacer(" ", "_", "-", "_").Replace(s)
}

// spaces are the blank characters that spreadsheets put into cells. They include the
// no-break spaces between digit groups, and the byte-order mark, which ends up in the
// middle of a file that was joined from several.
const spaces = " \t\r\n\u00a0\u2007\u2009\u202f\u200b\ufeff"

// trimSpaces removes leading and trailing blanks of a cell.
func trimSpaces(s string) string { return strings.Trim(s, spaces) }

// nearestName returns the name in list with the smallest edit distance to s, or "" if
// that is above two.
func nearestName(s string, list []string) string {
	best, bestDist := "", 3
	for _, l := range list {
		if d := editDistance(s, l); d < bestDist {
			best, bestDist = l, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b in bytes, or 99 if
// their lengths differ by more than two or a is longer than 40 bytes.
func editDistance(a, b string) int {
	const tooFar = 99
	if len(a) > 40 || len(a)-len(b) > 2 || len(b)-len(a) > 2 {
		return tooFar
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
