package sheet

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/workload"
)

// The texts of Fault.Allowed, by type of value.
const (
	allowNumber    = "a number such as 2, 0.5 or 0,5, without digit groups"
	allowCPU       = "cores as a number above 0 such as 2 or 0,5, or thousandths such as 500m"
	allowMemory    = "a size above 0 with unit MiB, GiB, TiB, MB, GB or TB, such as 512 MiB or 1,5 GiB"
	allowDuration  = "a duration with unit s, m (or min), h or d, such as 90m or 1,5 h"
	allowClock     = "a time of day HH:MM such as 06:30"
	allowRate      = "a rate of at least 0 such as 50, 50/s, 3000/min or 9000/h"
	allowBool      = "yes or no"
	allowPriority  = "low, normal, high, urgent or a whole number from 0 to 100"
	allowName      = "1 to 128 bytes of letters of one script, digits, '.', '_' and '-', beginning with a letter or digit"
	allowDays      = "days of the month such as 1 15 last, each from 1 to 31 or last"
	allowNoFormula = "a value; the cell holds a formula or the error of one"
)

// formulaErrorPattern matches the errors that spreadsheets show in place of a value, in
// the languages of the planners, and the ##### of a column that is too narrow.
var formulaErrorPattern = regexp.MustCompile(`(?i)^(#[^\s#]+[!?]|#N/A|#N/D|#Н/Д|#ЖОҚ|#+|err:\d+)$`)

// isFormula reports whether a cell holds a formula or the error of one.
func isFormula(s string) bool {
	return formulaErrorPattern.MatchString(s) || strings.HasPrefix(s, "=")
}

// digitGroupPattern matches numbers that could have digit groups, such as 1.500.
var digitGroupPattern = regexp.MustCompile(`^[+-]?[1-9]\d{0,2}([.,]\d{3})+$`)

// parseNumber parses a number with a decimal comma or point. It rejects a number whose
// separator could be one of digit groups, such as 1.500.
func parseNumber(s string) (float64, bool) {
	s = trimSpaces(s)
	if s == "" || strings.Count(s, ",")+strings.Count(s, ".") > 1 || digitGroupPattern.MatchString(s) {
		return 0, false
	}
	for _, r := range s {
		if !strings.ContainsRune("0123456789.,+-", r) {
			return 0, false // no exponents, infinities or hexadecimal
		}
	}
	v, err := strconv.ParseFloat(strings.Replace(s, ",", ".", 1), 64)
	return v, err == nil
}

// maxWholeNumber is low enough that sums of whole numbers do not overflow int64.
const maxWholeNumber = 1 << 40

// parseWholeNumber parses a whole number of at most maxWholeNumber in absolute value.
func parseWholeNumber(s string) (int64, bool) {
	v, ok := parseNumber(s)
	if !ok || v != math.Trunc(v) || math.Abs(v) > maxWholeNumber {
		return 0, false
	}
	return int64(v), true
}

// splitUnit separates a number from the unit that follows it.
func splitUnit(s string) (value float64, unit string, ok bool) {
	s = trimSpaces(s)
	i := strings.IndexFunc(s, func(r rune) bool { return unicode.IsLetter(r) || r == '/' || r == '%' })
	if i < 0 {
		i = len(s)
	}
	value, ok = parseNumber(s[:i])
	return value, s[i:], ok
}

// parseCPU parses a number of cores, or of thousandths with unit m, and returns
// thousandths of a core.
func parseCPU(s string) (int64, bool) {
	v, unit, ok := splitUnit(s)
	switch strings.ToLower(unit) {
	case "", "core", "cores":
		v *= 1000
	case "m":
	default:
		return 0, false
	}
	if !ok || v <= 0 || v > maxWholeNumber || math.Abs(v-math.Round(v)) > 1e-6 { // the tolerance covers rounding errors
		return 0, false
	}
	return int64(math.Round(v)), true
}

// memoryUnits holds the number of bytes of each unit, in lower case.
var memoryUnits = map[string]float64{
	"mib": 1 << 20, "gib": 1 << 30, "tib": 1 << 40, "mb": 1e6, "gb": 1e9, "tb": 1e12,
}

// parseMemory parses a size with its unit and returns mebibytes, rounded up.
func parseMemory(s string) (int64, bool) {
	v, unit, ok := splitUnit(s)
	scale, known := memoryUnits[strings.ToLower(unit)]
	if !ok || !known || v <= 0 {
		return 0, false
	}
	mib := math.Ceil(v*scale/(1<<20) - 1e-9) // the tolerance covers rounding errors
	return int64(mib), mib >= 1 && mib <= maxWholeNumber
}

// durationUnits holds the length of each unit, in lower case.
var durationUnits = map[string]time.Duration{
	"s": time.Second, "sec": time.Second, "m": time.Minute, "min": time.Minute,
	"h": time.Hour, "d": 24 * time.Hour,
}

// parseDuration parses a duration of at most 366 days, which may be zero, and rounds it
// to seconds.
func parseDuration(s string) (time.Duration, bool) {
	v, unit, ok := splitUnit(s)
	scale, known := durationUnits[strings.ToLower(unit)]
	if !ok || !known || v < 0 || v*float64(scale) > float64(366*24*time.Hour) {
		return 0, false
	}
	return time.Duration(math.Round(v * float64(scale))).Round(time.Second), true
}

// parseRate parses a rate and returns it per second, which is also the default unit.
func parseRate(s string) (float64, bool) {
	v, unit, ok := splitUnit(s)
	if !ok || v < 0 {
		return 0, false
	}
	switch strings.ToLower(unit) {
	case "", "/s":
		return v, true
	case "/min", "/m":
		return v / 60, true
	case "/h":
		return v / 3600, true
	}
	return 0, false
}

// clockPattern matches a time of day with optional seconds, which must be zero.
var clockPattern = regexp.MustCompile(`^(\d{1,2})[:.](\d{2})([:.]00)?$`)

// parseClock parses a time of day and returns it as "HH:MM".
func parseClock(s string) (string, bool) {
	m := clockPattern.FindStringSubmatch(s)
	if m == nil {
		return "", false
	}
	h, _ := strconv.Atoi(m[1])
	if h > 23 || m[2] > "59" {
		return "", false
	}
	if len(m[1]) == 1 {
		m[1] = "0" + m[1]
	}
	return m[1] + ":" + m[2], true
}

// parseDay parses an ISO date or one with the day first, and returns it as "2006-01-02".
func parseDay(s string) (string, bool) {
	for _, layout := range []string{"2006-01-02", "02/01/2006", "02.01.2006", "2/1/2006", "2.1.2006", "02-01-2006"} {
		if t, err := time.Parse(layout, s); err == nil {
			return t.Format("2006-01-02"), true
		}
	}
	return "", false
}

var priorities = map[string]workload.Priority{
	"low": workload.Low, "normal": workload.Normal, "high": workload.High, "urgent": workload.Urgent,
}

// parsePriority parses the name of a priority or its number.
func parsePriority(s string) (workload.Priority, bool) {
	if p, ok := priorities[strings.ToLower(s)]; ok {
		return p, true
	}
	v, ok := parseWholeNumber(s)
	return workload.Priority(v), ok && v >= int64(workload.Low) && v <= int64(workload.Urgent)
}

func parseBool(s string) (value, ok bool) {
	switch strings.ToLower(s) {
	case "yes", "true", "1", "x":
		return true, true
	case "no", "false", "0":
		return false, true
	}
	return false, false
}

// splitList splits a cell that holds several values.
func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return strings.ContainsRune(",;|"+spaces, r) })
}

// parseDays parses days of the month, each at most once; "last" is config.LastDay.
func parseDays(s string) ([]int, bool) {
	var out []int
	seen := make(map[int]bool)
	for _, f := range splitList(s) {
		v, ok := parseWholeNumber(f)
		if strings.EqualFold(f, "last") {
			v, ok = config.LastDay, true
		} else if v < 1 || v > 31 {
			ok = false
		}
		if !ok || seen[int(v)] {
			return nil, false
		}
		seen[int(v)] = true
		out = append(out, int(v))
	}
	return out, len(out) > 0
}

// validName reports whether s is a name as allowName says. Latin and Cyrillic letters
// must not be mixed: some look alike, so that two different names would look the same
// to planners.
func validName(s string) bool {
	if s == "" || len(s) > workload.MaxNameBytes {
		return false
	}
	latin, cyrillic := false, false
	for i, r := range s {
		latin = latin || unicode.Is(unicode.Latin, r)
		cyrillic = cyrillic || unicode.Is(unicode.Cyrillic, r)
		if !unicode.IsLetter(r) && !unicode.IsDigit(r) && (i == 0 || !strings.ContainsRune("._-", r)) {
			return false
		}
	}
	return !latin || !cyrillic
}
