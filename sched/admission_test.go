package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// admissionFixture has one machine of four processors, the queue "q" with an objective of 1 s plus
// twice the run time, and ahead jobs of which each takes the machine for 1 s.
func admissionFixture(t *testing.T, shed bool, ahead int, tenants ...Tenant) *engineFixture {
	f := newEngineFixture(t, plainQueues, worker("a"))
	f.engine.cfg.ShedLoad = shed
	f.engine.SetTenants(2, tenants)
	for range ahead {
		f.submit(smallStep(4))
	}
	f.planAndConfirm()
	return f
}

// trySubmit submits a job of one task of 1 s of a tenant, and returns the error.
func (f *engineFixture) trySubmit(id, tenant string) error {
	return f.engine.Submit(Job{ID: id, Queue: "q", Tenant: tenant, Steps: []Step{smallStep(1)}, Accepted: f.now.Milliseconds()},
		f.now, time.UnixMilli(f.now.Milliseconds()), func(error) {})
}

// TestHopelessJobsAreRefused guards against accepting jobs that end after three times their objective,
// here 9 s, against refusing jobs that end before that, and against refusing any without the gate.
func TestHopelessJobsAreRefused(t *testing.T) {
	for _, test := range []struct {
		ahead   int
		shed    bool
		refused bool
	}{{1, true, false}, {7, true, false}, {12, true, true}, {12, false, false}} {
		f := admissionFixture(t, test.shed, test.ahead)
		err := f.trySubmit("x", "")
		if (err != nil) != test.refused {
			t.Errorf("%d jobs ahead, ShedLoad %v: %v, want refused: %v", test.ahead, test.shed, err, test.refused)
		}
		if !test.refused || err == nil {
			continue
		}
		response := errkind.ResponseOf(err)
		if response.Status != 503 || response.Outcome != errkind.NotRun || errkind.ReasonOf(err) != ReasonNoTimeLeft {
			t.Errorf("refused with status %d, outcome %s: %v", response.Status, response.Outcome, err)
		}
		// 11 s of work wait for the machine, and 1 s of the job itself follows.
		if wait := errkind.WaitOf(err); wait < 2*time.Second || wait > 4*time.Second {
			t.Errorf("room is expected in %v, want about 3s", wait)
		}
		if got := f.engine.Stats().AdmissionRefusals[ReasonNoTimeLeft]; got != 1 {
			t.Errorf("%d refusals counted, want 1", got)
		}
		if _, known := f.engine.State("x"); known || f.engine.jobs["x"] != nil {
			t.Error("the refused job is known")
		}
	}
}

// TestKnownJobIsNotRefused guards against refusing, as not run, the repeated submission of a job that
// was accepted.
func TestKnownJobIsNotRefused(t *testing.T) {
	f := admissionFixture(t, true, 1)
	if err := f.trySubmit("x", ""); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		f.jobCount++
		id := fmt.Sprintf("%016d", f.jobCount)
		if err := f.engine.Submit(Job{ID: id, Queue: "q", Steps: []Step{smallStep(4)}, Accepted: f.now.Milliseconds()}, f.now,
			time.UnixMilli(f.now.Milliseconds()), func(error) {}); err != nil {
			t.Fatal(err)
		}
	}
	f.flush()
	f.planAndConfirm()
	if err := f.trySubmit("y", ""); err == nil {
		t.Error("a new job is accepted, want it refused: the check is void")
	}
	if err := f.trySubmit("x", ""); err != nil {
		t.Errorf("the known job is refused: %v", err)
	}
}

// TestRoomComesBack guards against refusals after the backlog is gone.
func TestRoomComesBack(t *testing.T) {
	f := admissionFixture(t, true, 12)
	if f.trySubmit("x", "") == nil {
		t.Fatal("not refused: the check is void")
	}
	for id := range f.engine.jobs {
		f.engine.Cancel(id, f.now, func() {})
	}
	f.flush()
	f.planAndConfirm()
	if err := f.trySubmit("x", ""); err != nil {
		t.Errorf("refused after the backlog is gone: %v", err)
	}
}

// TestRefusedJobTakesNoRate guards against a refused job that counts towards the rate of its tenant, so
// that the next one would be beyond it.
func TestRefusedJobTakesNoRate(t *testing.T) {
	f := admissionFixture(t, false, 12, Tenant{Name: "x", Weight: 1})
	if f.trySubmit("x", "x") == nil {
		t.Fatal("not refused: the check is void")
	}
	if tokens := f.engine.tenant("x").share.tokens; tokens != 1 {
		t.Errorf("%v jobs are left of the rate, want 1", tokens)
	}
}

// TestWorkBehindACapIsNoBacklog guards against refusing the jobs of tenants for which there is room, because
// another tenant at its cap has much work that waits: that work takes none of the machines before theirs.
func TestWorkBehindACapIsNoBacklog(t *testing.T) {
	f := admissionFixture(t, true, 0)
	need := smallStep(1).Need
	f.engine.SetTenants(f.engine.configVersion, []Tenant{{Name: "capped", Weight: 1000, Cap: need}, {Name: "other", Weight: 1000}})
	for range 40 {
		f.mustSubmitAs("capped", smallStep(1))
	}
	f.flush()
	f.planAndConfirm()
	f.planAndConfirm()
	if held := f.engine.tenant("capped").held(); held != need {
		t.Fatalf("the tenant holds %s, want its cap %s", held, need)
	}
	if err := f.trySubmit("x", "other"); err != nil {
		t.Errorf("a job of another tenant is refused: %v", err)
	}
	if got := f.engine.Stats().WaitingByTier; got != [4]int{} {
		t.Errorf("waiting steps by tier %v, want none that wait for the machines", got)
	}
}
