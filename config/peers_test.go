package config

import (
	"context"
	"net"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// fakeLinks connects daemons through pipes.
type fakeLinks struct {
	t      testing.TB
	stores map[string]*Store // nil is a daemon that does not answer
}

func (f *fakeLinks) Self() link.Member { return link.Member{ID: "self"} }

func (f *fakeLinks) Members() []link.Member {
	out := []link.Member{{ID: "self"}, {ID: "dead", State: link.Dead}}
	for _, id := range sortedKeys(f.stores) {
		out = append(out, link.Member{ID: id, State: link.Alive})
	}
	return out
}

func (f *fakeLinks) Conn(_ context.Context, id string) (drpc.Conn, error) {
	s := f.stores[id]
	if s == nil {
		return nil, errkind.New(errkind.Unreachable, "silent", "%s does not answer", id)
	}
	mux := drpcmux.New()
	if err := rpc.DRPCRegisterConfigPeer(mux, NewPeerServer(s)); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	near, far := net.Pipe()
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, far) }()
	conn := drpcconn.New(near)
	f.t.Cleanup(func() { cancel(); _ = conn.Close() })
	return conn, nil
}

func (f *fakeLinks) peers() *Peers {
	p, err := NewPeers(PeersConfig{Links: f, PollInterval: time.Millisecond})
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

// Guards against a daemon that stays down in a log outage although peers could
// help, that takes an older version than a peer has, that does not follow the
// log afterwards, or that claims to be ready with neither.
func TestStartFromPeersInAnOutage(t *testing.T) {
	l := newFakeLog()
	old, fresh := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	v := fresh.publish(t, 3)
	old.awaitVersion(t, v)
	old.log.set(faults{down: true})
	v = fresh.publish(t, 3)
	fresh.log.set(faults{down: true})

	start := func(stores map[string]*Store) *daemon {
		links := &fakeLinks{t, stores}
		d := newDaemon(t, l, func(sc *StoreConfig, _ *PublisherConfig) { sc.Peers = links.peers() })
		d.log.set(faults{down: true})
		d.run(t)
		return d
	}
	d := start(map[string]*Store{"old": old.Store, "fresh": fresh.Store, "silent": nil}).awaitReady(t)
	if d.Current().Version != v || d.Status().LogErr == nil {
		t.Fatalf("in force %+v, want version %d from a peer", d.Status(), v)
	}
	fresh.log.set(faults{})
	d.log.set(faults{})
	d.awaitVersion(t, fresh.publish(t, 1))

	alone := start(map[string]*Store{"silent": nil})
	eventually(t, "the log was tried", func() bool { return alone.Status().LogErr != nil })
	if errkind.Of(alone.Ready()) != errkind.NotReady {
		t.Error("a daemon with neither log nor peer is ready")
	}
	if _, err := alone.pub.Submit(context.Background(), proposal("x", 0, Strict, teamOp("a", 1))); errkind.Of(err) != errkind.NotReady {
		t.Errorf("a daemon that is not ready answered %v", err)
	}
}

// Guards against a stale peer that brings back an old version in an outage, and
// against a daemon that misses a change which a peer could hand over.
func TestPeersInAnOutage(t *testing.T) {
	l := newFakeLog()
	stale, other := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	v := other.publish(t, 2)
	stale.awaitVersion(t, v)
	stale.log.set(faults{down: true})
	links := &fakeLinks{t, map[string]*Store{"stale": stale.Store}}
	d := startDaemon(t, l, func(sc *StoreConfig, _ *PublisherConfig) { sc.Peers = links.peers() })
	v = other.publish(t, 2)
	d.awaitVersion(t, v)
	im, _ := stale.Image()
	if d.installImage(im, "peer") || d.Current().Version != v {
		t.Error("an older image was installed")
	}
	d.log.set(faults{down: true})
	eventually(t, "the outage is seen", func() bool { return d.Status().LogErr != nil })
	if d.Current().Version != v {
		t.Errorf("version %d after asking a stale peer, want %d", d.Current().Version, v)
	}
	next := other.publish(t, 1)
	stale.log.set(faults{})
	d.awaitVersion(t, next)
	if d.Status().LogErr == nil {
		t.Error("the version came from the log, not from a peer")
	}
}

// Guards against an apply that waits for ever, or that does not name the daemons it waits for.
func TestAwaitNamesMissingDaemons(t *testing.T) {
	l := newFakeLog()
	a, cut := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	cut.log.set(faults{down: true})
	v := a.publish(t, 1)
	p := (&fakeLinks{t, map[string]*Store{"a": a.Store, "cut": cut.Store, "silent": nil}}).peers()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if len(p.AwaitVersion(ctx, v)) == 0 {
		t.Error("unanswered daemons counted as confirmed")
	}
	ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	var missing []string
	for _, m := range p.AwaitVersion(ctx, v) {
		missing = append(missing, m.Daemon)
	}
	for _, id := range []string{"cut", "silent"} {
		found := false
		for _, m := range missing {
			found = found || m == id
		}
		if !found {
			t.Errorf("missing daemons are %v, want %s among them", missing, id)
		}
	}
	for _, pv := range p.Versions(context.Background()) {
		if pv.Daemon == "a" && (pv.Version != v || !pv.Since.Equal(testNow()) || !pv.Ready || !pv.LogReadable) {
			t.Errorf("confirmation of a: %+v", pv)
		}
	}
}
