package sched

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// pressureScenarios are the loads of the deployments with tenants and with uneven machines.
var pressureScenarios = []struct {
	name string
	make func(seed uint64) *loadSimulation
}{
	{"tenants_bursts", func(seed uint64) *loadSimulation {
		l := tenantLoad(seed)
		l.burstOfEachKind()
		return l
	}},
	{"tenants_hot", func(seed uint64) *loadSimulation {
		l := tenantLoad(seed)
		l.hotTenants()
		return l
	}},
	{"uneven_bursts", func(seed uint64) *loadSimulation {
		l := unevenLoad(seed)
		l.burstOfEachKind()
		return l
	}},
}

// pressureSeedsVariable is the number of seeds of TestPressureReport, which is not run without it.
const pressureSeedsVariable = "SCHED_PRESSURE_SEEDS"

// TestPressureReport reports what callers get under pressure. It checks nothing: it is the
// measurement by which the order and the refusals are chosen.
func TestPressureReport(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv(pressureSeedsVariable))
	if err != nil {
		t.Skipf("%s is not set to a number", pressureSeedsVariable)
	}
	for _, s := range pressureScenarios {
		for _, factor := range []float64{1, 1.5, 2} {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%s/x%.1f/%d", s.name, factor, seed+1), func(t *testing.T) {
					t.Parallel()
					l := s.make(uint64(seed) + 1)
					l.scaleRates(factor)
					l.newEngine(pressureGates(l))
					l.run(pressureArrivals, pressureEnd)
					t.Logf("%s x%.1f %s refused %v gave up %d searches %d", s.name, factor, l.report(), l.pressure.refusals,
						l.pressure.givenUp, l.engine.Stats().Searches)
				})
			}
		}
	}
}

const (
	pressureArrivals = 24 * time.Second
	pressureEnd      = 36 * time.Second // the longest objectives are over, but for a few large jobs
)

// pressureGates returns the settings of the engine for a load, with the gates that the
// environment names.
func pressureGates(l *loadSimulation) (Config, []Tenant) {
	gates := strings.Split(os.Getenv("SCHED_PRESSURE_GATES"), ",")
	cfg := Config{ShedLoad: slices.Contains(gates, "pressure")}
	var tenants []Tenant
	if slices.Contains(gates, "tenants") && len(l.pressure.tenants) > 1 {
		for _, t := range l.pressure.tenants {
			tenants = append(tenants, t.Tenant)
		}
	}
	return cfg, tenants
}
