package request

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// stopServing is the first step of a release: the owner no longer runs ids of the
// shard. CutMS lies after now, as in real releases.
func (c *testCell) stopServing(k contract.Key, to string) contract.Release {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, gs := c.owners[k], c.grants[k]
	last := &gs[len(gs)-1]
	r := contract.Release{Shard: k, Epoch: o.epoch, PredecessorEpoch: c.releasedAt[k], To: to,
		FromMS: last.from, CutMS: time.Now().Add(5 * time.Second).UnixMilli()}
	c.owners[k] = keyOwner{"", o.epoch}
	return r
}

// applyRelease has the effect of the release record in the log: the shard belongs to
// the successor, whose range starts where that of the predecessor ends.
func (c *testCell) applyRelease(r contract.Release) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gs := c.grants[r.Shard]
	gs[len(gs)-1].to = r.CutMS
	c.epoch++
	o := keyOwner{r.To, c.epoch}
	c.owners[r.Shard], c.releasedAt[r.Shard] = o, r.Epoch
	c.grants[r.Shard] = append(gs, grantedRange{o, r.CutMS, r.CutMS + 120_000})
}

// handOverWest hands over all id shards of the region west from one daemon to another.
func handOverWest(t *testing.T, c *testCell, from, to *testDaemon) (rs []contract.Release) {
	t.Helper()
	for n := range 4 {
		rs = append(rs, c.stopServing(contract.IDsKey("west", n), to.id))
	}
	from.svc.HandOver(t.Context(), rs)
	for _, r := range rs {
		c.applyRelease(r)
	}
	return rs
}

// newRecorderCell returns a cell in which d1 owns the executor group and d2 is the
// recorder of all id shards of the region west.
func newRecorderCell(t *testing.T, x standin.ExecutorConfig) (c *testCell, d1, d2 *testDaemon) {
	c, d1, d2 = newOneGroupCell(t, 2, x, func(cfg *Config) { cfg.MaxOwnerWait = 500 * time.Millisecond })
	c.setIDShardOwners("west", "d2")
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range 4 { // d2 has been the only recorder for a minute
		k := contract.IDsKey("west", n)
		o := c.owners[k]
		c.grants[k] = []grantedRange{{o, time.Now().Add(-time.Minute).UnixMilli(), time.Now().Add(2 * time.Minute).UnixMilli()}}
	}
	return c, d1, d2
}

// checkAnswered fails the test if a quote with the id through d is not answered.
func checkAnswered(t *testing.T, d *testDaemon, id string) {
	t.Helper()
	if a, err := doCall(d, Quote, id, "x", 10*time.Second); err != nil || string(a.Body) != "x" {
		t.Errorf("id %s through %s: %q, %v, want the answer x", id, d.id, a.Body, err)
	}
}

// checkUnknown fails the test if a quote with the id through d ends otherwise than
// with an unknown outcome.
func checkUnknown(t *testing.T, d *testDaemon, id string) {
	t.Helper()
	if _, err := doCall(d, Quote, id, "x", time.Second); err == nil || errkind.ResponseOf(err).Outcome != errkind.Unknown {
		t.Errorf("id %s through %s: %v, want an unknown outcome", id, d.id, err)
	}
}

// checkRuns fails the test if one of the ids did not run want times.
func (c *testCell) checkRuns(want int, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		if n := c.runCounts()[id]; n != want {
			c.t.Errorf("id %s ran %d times, want %d", id, n, want)
		}
	}
}

// Guards against unknown outcomes after planned stops, also after several handovers in
// a row, and against a second run by any of the recorders.
func TestHandoverKeepsIDs(t *testing.T) {
	c, d1, d2 := newRecorderCell(t, standin.ExecutorConfig{Slots: 8})
	ran, first, second := ulid.Make().String(), ulid.Make().String(), ulid.Make().String()
	checkAnswered(t, d2, ran)
	handOverWest(t, c, d2, d1)
	checkAnswered(t, d1, ran)
	checkAnswered(t, d2, first)
	handOverWest(t, c, d1, d2) // back to a daemon that still has older records of its own
	for _, id := range []string{ran, first, second} {
		checkAnswered(t, d1, id)
		checkAnswered(t, d2, id)
	}
	c.checkRuns(1, ran, first, second)
}

// Guards against a recorder that continues after a pause, or whose release failed, and
// runs ids that its successor may run.
func TestClosedRangeIsNeverRunAgain(t *testing.T) {
	c, d1, d2 := newRecorderCell(t, standin.ExecutorConfig{Slots: 8})
	id := ulid.Make()
	k := contract.IDsKey("west", Shard(id, 4))
	r := c.stopServing(k, "d1")
	d2.svc.HandOver(t.Context(), []contract.Release{r})
	c.mu.Lock()
	c.owners[k] = keyOwner{"d2", r.Epoch} // as d2 sees it, its epoch is still the current one
	c.mu.Unlock()
	checkUnknown(t, d2, id.String())
	c.checkRuns(0, id.String())
	c.applyRelease(r)
	checkAnswered(t, d1, id.String())
	c.checkRuns(1, id.String())
}

// Guards against a successor that runs ids after an incomplete handover.
func TestIncompleteHandoverStaysUnknown(t *testing.T) {
	c, d1, d2 := newRecorderCell(t, standin.ExecutorConfig{Slots: 8})
	ran, never := ulid.Make(), ulid.Make()
	checkAnswered(t, d2, ran.String())
	c.setMemberState("d2", link.Dead)
	for _, id := range []ulid.ULID{ran, never} {
		r := c.stopServing(contract.IDsKey("west", Shard(id, 4)), "d1")
		content := d2.svc.recorder.close(r)
		conn, err := d2.Conn(t.Context(), "d1")
		if err != nil {
			t.Fatal(err)
		}
		stream, err := rpc.NewDRPCRequestPathClient(conn).HandOver(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		// The sender dies before the last part.
		part := &rpc.HandoverPart{Shard: string(content.shard), Epoch: uint64(content.epoch),
			FromMs: content.fromMS, CutMs: content.cutMS}
		if err := stream.Send(part); err != nil {
			t.Fatal(err)
		}
		if _, err := stream.CloseAndRecv(); err == nil {
			t.Error("a handover without its last part was accepted")
		}
		c.applyRelease(r)
	}
	d2.stop()
	<-d2.done
	eventually(t, "d1 knows that d2 is dead", func() bool { return d1.svc.loads.isDown("d2") })
	checkUnknown(t, d1, ran.String())
	checkUnknown(t, d1, never.String())
	c.checkRuns(1, ran.String())
	c.checkRuns(0, never.String())
}

// Guards against a repeated or late handover message that replaces the successor's own
// records of runs, or lets a daemon run ids that it has handed over.
func TestRepeatedAndLateHandover(t *testing.T) {
	c, d1, d2 := newRecorderCell(t, standin.ExecutorConfig{Slots: 8})
	id, other := ulid.Make(), ulid.Make()
	for Shard(other, 4) != Shard(id, 4) {
		other = ulid.Make()
	}
	k := contract.IDsKey("west", Shard(id, 4))
	r := c.stopServing(k, "d1")
	content := d2.svc.recorder.close(r)
	refused := &request{id: id, customer: "acme", class: Quote, body: []byte("x")}
	contentHash := refused.contentHash()
	content.ids = append(content.ids, &rpc.RecordedID{Id: id.Bytes(), Content: contentHash[:],
		Failure: &rpc.RequestFailure{Kind: string(errkind.Overloaded), Reason: "queue_full", Fresh: true}})
	send := func() {
		if err := d2.svc.sendHandover(t.Context(), "d1", content, false); err != nil {
			t.Logf("handover message refused: %v", err)
		}
	}
	send()
	c.applyRelease(r)
	eventually(t, "the refusal has expired", func() bool {
		a, err := doCall(d1, Quote, id.String(), "x", 10*time.Second)
		return err == nil && string(a.Body) == "x"
	})
	send()
	checkAnswered(t, d1, id.String())
	c.checkRuns(1, id.String())
	// d2 claims the shard without a handover; d1 may no longer use what it inherited.
	c.setOwner("d2", k)
	send()
	for _, d := range []*testDaemon{d1, d2} {
		rep := d.svc.recorder.run(t.Context(), k, &request{id: other, customer: "acme", class: Quote, body: []byte("x"),
			deadline: time.Now().Add(time.Second)})
		if rep.err == nil || rep.confirmedNotRun {
			t.Errorf("%s: %v, want an error without \"not run\" for an id that was handed over", d.id, rep.err)
		}
	}
	c.checkRuns(0, other.String())
	c.checkRuns(1, id.String())
}

// Guards against a daemon that received a handover for a release that failed, and uses
// it after another daemon became the successor and ran ids.
func TestHandoverOfFailedReleaseIsNotUsed(t *testing.T) {
	c, d1, d2 := newRecorderCell(t, standin.ExecutorConfig{Slots: 8})
	d3 := c.startDaemon("d3", "w2", func(cfg *Config) { cfg.MaxOwnerWait = 500 * time.Millisecond })
	c.waitForSlots(16, d3)
	id := ulid.Make()
	k := contract.IDsKey("west", Shard(id, 4))
	r := c.stopServing(k, "d1")
	d2.svc.HandOver(t.Context(), []contract.Release{r}) // the append of this release fails
	r.To = "d3"
	d2.svc.HandOver(t.Context(), []contract.Release{r})
	c.applyRelease(r)
	checkAnswered(t, d3, id.String())
	c.setMemberState("d3", link.Dead)
	d3.stop()
	<-d3.done
	c.setOwner("d1", k)
	eventually(t, "d1 knows that d3 is dead", func() bool { return d1.svc.loads.isDown("d3") })
	checkUnknown(t, d1, id.String())
	c.checkRuns(1, id.String())
}

// Guards against a daemon that takes over from a dead successor and acts as if it had
// the records that were handed over to that successor.
func TestSuccessorDiesAfterHandover(t *testing.T) {
	c, d1, d2 := newRecorderCell(t, standin.ExecutorConfig{Slots: 8})
	d3 := c.startDaemon("d3", "w2", func(cfg *Config) { cfg.MaxOwnerWait = 500 * time.Millisecond })
	ran, never := ulid.Make().String(), ulid.Make().String()
	checkAnswered(t, d2, ran)
	handOverWest(t, c, d2, d3)
	c.setMemberState("d3", link.Dead)
	d3.stop()
	<-d3.done
	c.setIDShardOwners("west", "d1")
	eventually(t, "d1 knows that d3 is dead", func() bool { return d1.svc.loads.isDown("d3") })
	checkAnswered(t, d1, ran) // the first recorder is still alive and remembers the run
	checkUnknown(t, d1, never)
	c.checkRuns(1, ran)
	c.checkRuns(0, never)
}

// Guards against a call that runs during the handover and is run again, or whose
// answer is lost, because its result arrives after the release.
func TestHandoverWithRunningCall(t *testing.T) {
	c, d1, d2 := newRecorderCell(t, standin.ExecutorConfig{Slots: 8, ServiceTime: 400 * time.Millisecond})
	id := ulid.Make().String()
	done := make(chan error, 1)
	go func() {
		_, err := doCall(d2, Quote, id, "x", 10*time.Second)
		done <- err
	}()
	eventually(t, "the call runs", func() bool {
		d2.svc.recorder.mu.Lock()
		defer d2.svc.recorder.mu.Unlock()
		return d2.svc.recorder.count == 1
	})
	handOverWest(t, c, d2, d1)
	checkAnswered(t, d1, id)
	if err := <-done; err != nil {
		t.Errorf("the call that was running: %v, want an answer", err)
	}
	if err := d2.svc.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	c.checkRuns(1, id)
}

// Guards against callers that wait for a recorder which cannot serve them: it claimed
// the shard and gets a range of its own only after the grant of the earlier recorder.
func TestClaimantWithoutRangeReportsUnknown(t *testing.T) {
	c, d1, _ := newRecorderCell(t, standin.ExecutorConfig{Slots: 8})
	id := ulid.Make()
	k := contract.IDsKey("west", Shard(id, 4))
	c.mu.Lock()
	c.epoch++
	c.owners[k] = keyOwner{"d1", c.epoch}
	c.mu.Unlock()
	r := &request{id: id, customer: "acme", class: Quote, body: []byte("x"), deadline: time.Now().Add(time.Second)}
	if rep := d1.svc.recorder.run(t.Context(), k, r); errkind.Of(rep.err) != errkind.OutcomeUnknown {
		t.Errorf("%v, want an unknown outcome and not a refusal that the entry would retry", rep.err)
	}
	c.checkRuns(0, id.String())
}
