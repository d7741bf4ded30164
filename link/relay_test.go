package link_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// Guards against a region whose daemons all read the log across the link between regions,
// and against one that cannot read when its relay fails.
func TestOneDaemonPerRegionReadsLog(t *testing.T) {
	l := standin.NewLog(standin.LogConfig{})
	srv := httptest.NewServer(l)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	direct := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL})
	var daemons []*testDaemon
	var logs []*link.RelayedLog
	var directLogs [3]countingLog
	for i := range 3 {
		directLogs[i].Log = direct
		d := startDaemon(t, fmt.Sprint("x", i), "z3", &directLogs[i])
		daemons = append(daemons, d)
		logs = append(logs, link.NewRelayedLog(link.RelayedLogConfig{Direct: &directLogs[i], Peers: d.Membership, LogRegion: "r1"}))
	}
	introduce(daemons...)
	eventually(t, "all alive", func() bool {
		for _, d := range daemons {
			for _, other := range daemons {
				if d.state(other.Self().ID) != link.Alive {
					return false
				}
			}
		}
		return true
	})
	if _, err := direct.Append(t.Context(), "s", [][]byte{[]byte("one"), []byte("two")}); err != nil {
		t.Fatal(err)
	}
	readAll := func() {
		for _, log := range logs {
			for range 5 {
				b, err := log.Read(t.Context(), "s", 0, 10, 0)
				if err != nil || len(b.Records) != 2 || b.Head != 2 {
					t.Errorf("read %d records, head %d, error %v, want 2 records and head 2", len(b.Records), b.Head, err)
				}
			}
		}
	}
	readAll()
	readers := 0
	for i := range directLogs {
		if directLogs[i].reads.Load() > 0 {
			readers++
		}
	}
	if readers != 1 {
		t.Errorf("%d daemons of the region read the log, want the relay only", readers)
	}
	for i := range directLogs { // the others still read when the relay cannot
		if directLogs[i].reads.Load() > 0 {
			directLogs[i].down.Store(true)
		}
	}
	readAll()
	for i := range directLogs {
		directLogs[i].down.Store(true)
	}
	if _, err := logs[0].Read(t.Context(), "t", 0, 10, 0); errkind.Of(err) != errkind.LogUnavailable {
		t.Errorf("error %v, want log_unavailable", err)
	}
}

// countingLog counts the reads of a log, and refuses them while down is set.
type countingLog struct {
	upstream.Log
	reads atomic.Int64
	down  atomic.Bool
}

func (l *countingLog) Read(ctx context.Context, stream string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	if l.down.Load() {
		return upstream.Batch{}, errkind.New(errkind.LogUnavailable, "test", "down")
	}
	l.reads.Add(1)
	return l.Log.Read(ctx, stream, from, limit, wait)
}
