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

// fakeLinks implements link.Peers. It connects daemons through pipes.
type fakeLinks struct {
	t      testing.TB
	stores map[string]*Store // by daemon id; nil is a daemon that does not answer
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
	clientSide, serverSide := net.Pipe()
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, serverSide) }()
	conn := drpcconn.New(clientSide)
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

// Guards against a daemon started in a log outage that does not become ready from its
// peers, that takes an older version than the newest peer has, that does not follow
// the log afterwards, or that reports ready without log and peers.
func TestStartFromPeersInAnOutage(t *testing.T) {
	l := newFakeLog()
	stale, upToDate := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	v := upToDate.publishChanges(t, 3)
	stale.awaitVersion(t, v)
	stale.log.setFaults(faults{down: true})
	v = upToDate.publishChanges(t, 3)
	upToDate.log.setFaults(faults{down: true})

	start := func(stores map[string]*Store) *daemon {
		links := &fakeLinks{t, stores}
		d := newDaemon(t, l, func(sc *StoreConfig, _ *PublisherConfig) { sc.Peers = links.peers() })
		d.log.setFaults(faults{down: true})
		d.run(t)
		return d
	}
	d := start(map[string]*Store{"old": stale.Store, "fresh": upToDate.Store, "silent": nil}).awaitReady(t)
	if d.Current().Version != v || d.Status().LogErr == nil {
		t.Fatalf("status %+v, want version %d from a peer", d.Status(), v)
	}
	upToDate.log.setFaults(faults{})
	d.log.setFaults(faults{})
	d.awaitVersion(t, upToDate.publishChanges(t, 1))

	isolated := start(map[string]*Store{"silent": nil})
	eventually(t, "the log has been tried", func() bool { return isolated.Status().LogErr != nil })
	if errkind.Of(isolated.Ready()) != errkind.NotReady {
		t.Error("a daemon without log and peers is ready")
	}
	if _, err := isolated.publisher.Submit(context.Background(), newProposal("x", 0, Strict, teamOp("a", 1))); errkind.Of(err) != errkind.NotReady {
		t.Errorf("a daemon that is not ready returned %v, want not_ready", err)
	}
}

// Guards against a stale peer that reverts the version in a log outage, and against a
// daemon that does not take over a newer change from a peer.
func TestFollowPeersInAnOutage(t *testing.T) {
	l := newFakeLog()
	stale, other := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	v := other.publishChanges(t, 2)
	stale.awaitVersion(t, v)
	stale.log.setFaults(faults{down: true})
	links := &fakeLinks{t, map[string]*Store{"stale": stale.Store}}
	d := startDaemon(t, l, func(sc *StoreConfig, _ *PublisherConfig) { sc.Peers = links.peers() })
	v = other.publishChanges(t, 2)
	d.awaitVersion(t, v)
	im, _ := stale.Image()
	if d.installImage(im, "peer") || d.Current().Version != v {
		t.Error("an older image was installed, want it refused")
	}
	d.log.setFaults(faults{down: true})
	eventually(t, "the daemon notices the outage", func() bool { return d.Status().LogErr != nil })
	if d.Current().Version != v {
		t.Errorf("version %d after asking a stale peer, want %d", d.Current().Version, v)
	}
	next := other.publishChanges(t, 1)
	stale.log.setFaults(faults{})
	d.awaitVersion(t, next)
	if d.Status().LogErr == nil {
		t.Error("the log was readable, so the version may not come from a peer")
	}
}

// Guards against a wait for a version that never ends or that does not return the
// daemons which lack the version.
func TestAwaitVersionReturnsMissingDaemons(t *testing.T) {
	l := newFakeLog()
	a, withoutLog := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	withoutLog.log.setFaults(faults{down: true})
	v := a.publishChanges(t, 1)
	p := (&fakeLinks{t, map[string]*Store{"a": a.Store, "cut": withoutLog.Store, "silent": nil}}).peers()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if len(p.AwaitVersion(ctx, v)) == 0 {
		t.Error("daemons that did not answer count as having the version")
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
			t.Errorf("daemon a reports %+v, want the new version, in force since testNow, ready and with a readable log", pv)
		}
	}
}
