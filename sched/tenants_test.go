package sched

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestEndedJobKeepsItsTenant guards against a new leader that shows an ended job to every tenant, since its record names
// none.
func TestEndedJobKeepsItsTenant(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"))
	for id, tenant := range map[string]string{"00000000000000a1": "acme", "00000000000000a2": ""} {
		job := Job{ID: id, Queue: "q", Steps: []Step{smallStep(1)}, Tenant: tenant}
		if err := f.engine.Submit(job, f.now, time.UnixMilli(0), func(error) {}); err != nil {
			t.Fatal(err)
		}
	}
	if tenant, known := f.engine.JobTenant("00000000000000a1"); !known || tenant != "acme" {
		t.Errorf("live job: %q, %v; want acme", tenant, known)
	}
	f.flush()
	for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
		if !f.engine.Cancel(id, f.now, func() {}) {
			t.Fatalf("job %s is not known", id)
		}
	}
	batch, _, err := f.engine.Flush(time.UnixMilli(f.now.Milliseconds()))
	if err != nil {
		t.Fatal(err)
	}
	next := newEngineFixture(t, plainQueues)
	next.engine.Restore(batch.Records, next.now, time.UnixMilli(f.now.Milliseconds()))
	for id, want := range map[string]string{"00000000000000a1": "acme", "00000000000000a2": ""} {
		state, _ := next.engine.State(id)
		if tenant, known := next.engine.JobTenant(id); !known || tenant != want || state != Cancelled {
			t.Errorf("restored job %s: tenant %q, %v, %s; want %q, cancelled", id, tenant, known, state, want)
		}
	}
}

// TestFormerRecordOfEndedJob guards against records of ended jobs that cannot be read any more because builds without
// tenants have stored them.
func TestFormerRecordOfEndedJob(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{2: "completed", 3: int64(1000)})
	if err != nil {
		t.Fatal(err)
	}
	f := newEngineFixture(t, plainQueues)
	f.engine.Restore([]Record{{Key: jobKey("00000000000000a1"), Value: data}}, f.now, time.UnixMilli(1000))
	state, known := f.engine.State("00000000000000a1")
	if tenant, _ := f.engine.JobTenant("00000000000000a1"); !known || state != Completed || tenant != "" {
		t.Errorf("restored as %s, %v, tenant %q; want completed without a tenant", state, known, tenant)
	}
}
