package link

import (
	"context"
	"hash/fnv"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// RelayedLogConfig configures a RelayedLog.
type RelayedLogConfig struct {
	Direct    upstream.Log // required
	Peers     Peers        // required
	LogRegion zone.Region  // region of the log service; its daemons read directly
	// AttemptTimeout bounds the read from one source, in addition to the wait for new records.
	// Default 400 ms.
	AttemptTimeout time.Duration
	// MaxPeers is the number of peers tried for one read. Default 2.
	MaxPeers int
	// RetryPreferredAfter is how long a source that worked is tried first before the preferred
	// one is tried first again. Default 5 s.
	RetryPreferredAfter time.Duration
}

// RelayedLog reads the log directly or through the relay of its region, whichever is
// preferred, and falls back to the other way. Appends always go directly.
type RelayedLog struct {
	cfg RelayedLogConfig

	mu              sync.Mutex
	lastSource      string // source of the last successful read; empty for the log itself
	lastSourceKnown bool
	lastSourceUntil time.Time // lastSource is tried first until then
}

var (
	_ upstream.Log       = (*RelayedLog)(nil)
	_ upstream.AgeReader = (*RelayedLog)(nil)
)

// NewRelayedLog returns a RelayedLog.
func NewRelayedLog(cfg RelayedLogConfig) *RelayedLog {
	if cfg.AttemptTimeout <= 0 {
		cfg.AttemptTimeout = 400 * time.Millisecond
	}
	if cfg.MaxPeers <= 0 {
		cfg.MaxPeers = 2
	}
	if cfg.RetryPreferredAfter <= 0 {
		cfg.RetryPreferredAfter = 5 * time.Second
	}
	return &RelayedLog{cfg: cfg}
}

// Append implements upstream.Log.
func (l *RelayedLog) Append(ctx context.Context, stream string, records [][]byte) (upstream.Offset, error) {
	return l.cfg.Direct.Append(ctx, stream, records)
}

// Read implements upstream.Log.
func (l *RelayedLog) Read(ctx context.Context, stream string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	b, _, err := l.ReadWithAge(ctx, stream, from, limit, wait)
	return b, err
}

// ReadWithAge implements upstream.AgeReader.
func (l *RelayedLog) ReadWithAge(ctx context.Context, stream string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, time.Duration, error) {
	var lastErr error
	for _, source := range l.sources() {
		attemptCtx, cancel := context.WithTimeout(ctx, l.cfg.AttemptTimeout+wait)
		b, age, err := l.readFrom(attemptCtx, source, stream, from, limit, wait)
		cancel()
		if err == nil || errors.Is(err, upstream.ErrTrimmed) {
			l.rememberSource(source)
			return b, age, err
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return upstream.Batch{}, 0, errkind.Wrap(errkind.LogUnavailable, "no_source", lastErr)
}

// readFrom reads from one source: the log itself if source is empty, else the daemon with
// this id. The age is that of AgeReader.
func (l *RelayedLog) readFrom(ctx context.Context, source, stream string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, time.Duration, error) {
	if source == "" {
		b, err := l.cfg.Direct.Read(ctx, stream, from, limit, wait)
		return b, 0, err
	}
	conn, err := l.cfg.Peers.Conn(ctx, source)
	if err != nil {
		return upstream.Batch{}, 0, err
	}
	resp, err := rpc.NewDRPCLogRelayClient(conn).ReadLog(ctx, &rpc.ReadLogRequest{
		Stream: stream, From: uint64(from), Limit: uint32(limit), WaitMs: uint32(wait.Milliseconds())})
	if err != nil {
		return upstream.Batch{}, 0, err
	}
	if resp.Trimmed {
		return upstream.Batch{}, 0, &upstream.TrimmedError{Stream: stream, Oldest: upstream.Offset(resp.Oldest)}
	}
	b := upstream.Batch{Next: upstream.Offset(resp.Next), Head: upstream.Offset(resp.Head), Oldest: upstream.Offset(resp.Oldest)}
	for _, rec := range resp.Records {
		b.Records = append(b.Records, upstream.Record{Offset: upstream.Offset(rec.Offset), Data: rec.Data})
	}
	return b, time.Duration(resp.AgeMs) * time.Millisecond, nil
}

// rememberSource makes source the first one to try for RetryPreferredAfter. Repeated success
// does not extend this time.
func (l *RelayedLog) rememberSource(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); !l.lastSourceKnown || l.lastSource != source || now.After(l.lastSourceUntil) {
		l.lastSource, l.lastSourceKnown, l.lastSourceUntil = source, true, now.Add(l.cfg.RetryPreferredAfter)
	}
}

// sources returns the sources to read from, in the order in which they are tried. The empty
// source is the log itself. It is preferred in the region of the log and on the relay of a region.
func (l *RelayedLog) sources() []string {
	self := l.cfg.Peers.Self()
	ranked := daemonsByRelayRank(l.cfg.Peers.Members(), self.Region)
	selfIsRelay := len(ranked) > 0 && ranked[0] == self.ID
	peers := make([]string, 0, l.cfg.MaxPeers)
	for _, id := range ranked {
		if id != self.ID && len(peers) < l.cfg.MaxPeers {
			peers = append(peers, id)
		}
	}
	out := append([]string{""}, peers...)
	if self.Region != l.cfg.LogRegion && !selfIsRelay {
		out = append(peers, "")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastSourceKnown && time.Now().Before(l.lastSourceUntil) {
		for i, source := range out {
			if source == l.lastSource {
				copy(out[1:i+1], out[:i])
				out[0] = source
				break
			}
		}
	}
	return out
}

// daemonsByRelayRank returns the ids of the live daemons of a region. The first one is the
// relay. The order is the same on every daemon that sees the same members.
func daemonsByRelayRank(members []Member, region zone.Region) []string {
	var ids []string
	for _, m := range members {
		if m.Region == region && m.State == Alive {
			ids = append(ids, m.ID)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return relayWeight(region, ids[i]) > relayWeight(region, ids[j]) })
	return ids
}

// relayWeight returns the weight of a daemon in the rendezvous hashing that selects the relay.
func relayWeight(region zone.Region, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte("relay/" + string(region) + "/" + id))
	return mixBits(h.Sum64())
}

// mixBits spreads the bits of an FNV hash, whose high bits differ little between
// inputs that differ in their last byte. It is the finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
