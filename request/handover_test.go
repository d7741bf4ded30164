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
// shard. cut is later than now, as it is for real grants.
func (c *cell) stopServing(k contract.Key, to string) contract.Release {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, gs := c.owners[k], c.grants[k]
	last := &gs[len(gs)-1]
	r := contract.Release{Shard: k, Epoch: o.epoch, PredecessorEpoch: c.from[k], To: to, FromMS: last.from, CutMS: time.Now().Add(5 * time.Second).UnixMilli()}
	c.owners[k] = owned{"", o.epoch}
	return r
}

// release is the fold of the release record.
func (c *cell) release(r contract.Release) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gs := c.grants[r.Shard]
	gs[len(gs)-1].to = r.CutMS
	c.epoch++
	o := owned{r.To, c.epoch}
	c.owners[r.Shard], c.from[r.Shard] = o, r.Epoch
	c.grants[r.Shard] = append(gs, granted{o, r.CutMS, r.CutMS + 120_000})
}

// handOver moves all id shards of the region west from one daemon to another.
func handOver(t *testing.T, c *cell, from, to *daemon) (rs []contract.Release) {
	t.Helper()
	for n := range 4 {
		rs = append(rs, c.stopServing(contract.IDsKey("west", n), to.id))
	}
	from.svc.HandOver(t.Context(), rs)
	for _, r := range rs {
		c.release(r)
	}
	return rs
}

// twoRecorders returns a cell whose recorder is d2 and whose executor owner is d1.
func twoRecorders(t *testing.T, x standin.ExecutorConfig) (c *cell, d1, d2 *daemon) {
	c, d1, d2 = oneGroup(t, 2, x, func(cfg *Config) { cfg.OwnerWait = 500 * time.Millisecond })
	c.ownIDs("west", "d2")
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range 4 { // d2 is the only recorder since a minute ago
		k := contract.IDsKey("west", n)
		o := c.owners[k]
		c.grants[k] = []granted{{o, time.Now().Add(-time.Minute).UnixMilli(), time.Now().Add(2 * time.Minute).UnixMilli()}}
	}
	return c, d1, d2
}

func answered(t *testing.T, d *daemon, id string) {
	t.Helper()
	if a, err := do(d, Quote, id, "x", 10*time.Second); err != nil || string(a.Body) != "x" {
		t.Errorf("id %s through %s: %q, %v", id, d.id, a.Body, err)
	}
}

func unknown(t *testing.T, d *daemon, id string) {
	t.Helper()
	if _, err := do(d, Quote, id, "x", time.Second); err == nil || errkind.AnswerOf(err).Outcome != errkind.Unknown {
		t.Errorf("id %s through %s: %v, want an unknown outcome", id, d.id, err)
	}
}

func (c *cell) ran(want int, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		if n := c.runs()[id]; n != want {
			c.t.Errorf("id %s ran %d times, want %d", id, n, want)
		}
	}
}

// Guards against unknown outcomes after a planned stop, along a chain of
// handovers, and against a second run by any of the recorders.
func TestHandoverKeepsIDs(t *testing.T) {
	c, d1, d2 := twoRecorders(t, standin.ExecutorConfig{Slots: 8})
	ran, first, second := ulid.Make().String(), ulid.Make().String(), ulid.Make().String()
	answered(t, d2, ran)
	handOver(t, c, d2, d1)
	answered(t, d1, ran)
	answered(t, d2, first)
	handOver(t, c, d1, d2) // back to a daemon with older memory of its own
	for _, id := range []string{ran, first, second} {
		answered(t, d1, id)
		answered(t, d2, id)
	}
	c.ran(1, ran, first, second)
}

// Guards against an old recorder that wakes from a pause, or whose release failed,
// and runs ids that its successor may run.
func TestClosedRangeIsNeverRunAgain(t *testing.T) {
	c, d1, d2 := twoRecorders(t, standin.ExecutorConfig{Slots: 8})
	id := ulid.Make()
	k := contract.IDsKey("west", Shard(id, 4))
	r := c.stopServing(k, "d1")
	d2.svc.HandOver(t.Context(), []contract.Release{r})
	c.mu.Lock()
	c.owners[k] = owned{"d2", r.Epoch} // to d2, its epoch is still current
	c.mu.Unlock()
	unknown(t, d2, id.String())
	c.ran(0, id.String())
	c.release(r)
	answered(t, d1, id.String())
	c.ran(1, id.String())
}

// Guards against a successor that runs ids although the memory it got is not whole.
func TestIncompleteHandoverStaysUnknown(t *testing.T) {
	c, d1, d2 := twoRecorders(t, standin.ExecutorConfig{Slots: 8})
	ran, never := ulid.Make(), ulid.Make()
	answered(t, d2, ran.String())
	c.setMember("d2", link.Dead)
	for _, id := range []ulid.ULID{ran, never} {
		r := c.stopServing(contract.IDsKey("west", Shard(id, 4)), "d1")
		m := d2.svc.recorder.close(r)
		conn, err := d2.Conn(t.Context(), "d1")
		if err != nil {
			t.Fatal(err)
		}
		stream, err := rpc.NewDRPCRequestPathClient(conn).HandOver(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		// The sender dies before the last part.
		part := &rpc.HandoverPart{Shard: string(m.shard), Epoch: uint64(m.epoch), FromMs: m.from, CutMs: m.cut}
		if err := stream.Send(part); err != nil {
			t.Fatal(err)
		}
		if _, err := stream.CloseAndRecv(); err == nil {
			t.Error("a handover without its last part was accepted")
		}
		c.release(r)
	}
	d2.stop()
	<-d2.done
	eventually(t, "d1 knows that d2 is dead", func() bool { return d1.svc.loads.isDown("d2") })
	unknown(t, d1, ran.String())
	unknown(t, d1, never.String())
	c.ran(1, ran.String())
	c.ran(0, never.String())
}

// Guards against a repeated or late message that makes the successor forget its
// own runs, or lets a daemon run ids that it has passed on.
func TestRepeatedAndLateHandover(t *testing.T) {
	c, d1, d2 := twoRecorders(t, standin.ExecutorConfig{Slots: 8})
	id, other := ulid.Make(), ulid.Make()
	for Shard(other, 4) != Shard(id, 4) {
		other = ulid.Make()
	}
	k := contract.IDsKey("west", Shard(id, 4))
	r := c.stopServing(k, "d1")
	m := d2.svc.recorder.close(r)
	refused := &request{id: id, customer: "acme", class: Quote, body: []byte("x")}
	content := refused.content()
	m.ids = append(m.ids, &rpc.RecordedID{Id: id.Bytes(), Content: content[:],
		Failure: &rpc.RequestFailure{Kind: string(errkind.Overloaded), Reason: "queue_full", Fresh: true}})
	send := func() {
		if err := d2.svc.sendMemory(t.Context(), "d1", m, false); err != nil {
			t.Logf("message refused: %v", err)
		}
	}
	send()
	c.release(r)
	eventually(t, "the refusal has expired", func() bool {
		a, err := do(d1, Quote, id.String(), "x", 10*time.Second)
		return err == nil && string(a.Body) == "x"
	})
	send()
	answered(t, d1, id.String())
	c.ran(1, id.String())
	// A claim by d2 without a handover: what d1 has inherited is of no use to it.
	c.own("d2", k)
	send()
	for _, d := range []*daemon{d1, d2} {
		rep := d.svc.recorder.run(t.Context(), k, &request{id: other, customer: "acme", class: Quote, body: []byte("x"),
			deadline: time.Now().Add(time.Second)})
		if rep.err == nil || rep.fresh {
			t.Errorf("%s ran an id that was passed on, or called it not run: %v", d.id, rep.err)
		}
	}
	c.ran(0, other.String())
	c.ran(1, id.String())
}

// Guards against a daemon that got the memory for a release that failed, and uses
// it after another daemon was the successor and ran ids.
func TestMemoryOfFailedReleaseIsNotUsed(t *testing.T) {
	c, d1, d2 := twoRecorders(t, standin.ExecutorConfig{Slots: 8})
	d3 := c.daemon("d3", "w2", func(cfg *Config) { cfg.OwnerWait = 500 * time.Millisecond })
	c.ready(16, d3)
	id := ulid.Make()
	k := contract.IDsKey("west", Shard(id, 4))
	r := c.stopServing(k, "d1")
	d2.svc.HandOver(t.Context(), []contract.Release{r}) // its append fails
	r.To = "d3"
	d2.svc.HandOver(t.Context(), []contract.Release{r})
	c.release(r)
	answered(t, d3, id.String())
	c.setMember("d3", link.Dead)
	d3.stop()
	<-d3.done
	c.own("d1", k)
	eventually(t, "d1 knows that d3 is dead", func() bool { return d1.svc.loads.isDown("d3") })
	unknown(t, d1, id.String())
	c.ran(1, id.String())
}

// Guards against a third daemon that takes the place of a dead successor for one
// that has inherited its memory.
func TestSuccessorDiesAfterHandover(t *testing.T) {
	c, d1, d2 := twoRecorders(t, standin.ExecutorConfig{Slots: 8})
	d3 := c.daemon("d3", "w2", func(cfg *Config) { cfg.OwnerWait = 500 * time.Millisecond })
	ran, never := ulid.Make().String(), ulid.Make().String()
	answered(t, d2, ran)
	handOver(t, c, d2, d3)
	c.setMember("d3", link.Dead)
	d3.stop()
	<-d3.done
	c.ownIDs("west", "d1")
	eventually(t, "d1 knows that d3 is dead", func() bool { return d1.svc.loads.isDown("d3") })
	answered(t, d1, ran) // the first recorder is still there and remembers the run
	unknown(t, d1, never)
	c.ran(1, ran)
	c.ran(0, never)
}

// Guards against a call that runs during the handover and is run again, or whose
// answer is lost, because its result comes after the release.
func TestHandoverWithRunningCall(t *testing.T) {
	c, d1, d2 := twoRecorders(t, standin.ExecutorConfig{Slots: 8, ServiceTime: 400 * time.Millisecond})
	id := ulid.Make().String()
	done := make(chan error, 1)
	go func() {
		_, err := do(d2, Quote, id, "x", 10*time.Second)
		done <- err
	}()
	eventually(t, "the call runs", func() bool {
		d2.svc.recorder.mu.Lock()
		defer d2.svc.recorder.mu.Unlock()
		return d2.svc.recorder.count == 1
	})
	handOver(t, c, d2, d1)
	answered(t, d1, id)
	if err := <-done; err != nil {
		t.Errorf("the call that was running: %v", err)
	}
	if err := d2.svc.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	c.ran(1, id)
}

// Guards against callers that wait in vain for a recorder which claimed the shard
// and has no range of its own before the grant of the earlier one ends.
func TestClaimantWithoutRangeAnswersAtOnce(t *testing.T) {
	c, d1, _ := twoRecorders(t, standin.ExecutorConfig{Slots: 8})
	id := ulid.Make()
	k := contract.IDsKey("west", Shard(id, 4))
	c.mu.Lock()
	c.epoch++
	c.owners[k] = owned{"d1", c.epoch}
	c.mu.Unlock()
	r := &request{id: id, customer: "acme", class: Quote, body: []byte("x"), deadline: time.Now().Add(time.Second)}
	if rep := d1.svc.recorder.run(t.Context(), k, r); errkind.Of(rep.err) != errkind.OutcomeUnknown {
		t.Errorf("%v, want an unknown outcome instead of a refusal that is repeated", rep.err)
	}
	c.ran(0, id.String())
}
