package config

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// PeersConfig configures Peers.
type PeersConfig struct {
	Links link.Peers // required
	// VersionTimeout bounds the request for a daemon's version. Default 1 s.
	VersionTimeout time.Duration
	// StateTimeout bounds the transfer of an image from a daemon. Default 30 s.
	StateTimeout time.Duration
	// PollInterval is the pause between two polls of the daemons in AwaitVersion. Default 200 ms.
	PollInterval time.Duration
}

// Peers requests the configuration, or its version, from the other daemons. It
// implements PeerSource.
type Peers struct {
	cfg PeersConfig
}

// NewPeers returns a Peers with the defaults of cfg filled in.
func NewPeers(cfg PeersConfig) (*Peers, error) {
	if cfg.Links == nil {
		return nil, errkind.New(errkind.BadInput, "config_peers", "Links is required")
	}
	setDefault(&cfg.VersionTimeout, time.Second)
	setDefault(&cfg.StateTimeout, 30*time.Second)
	setDefault(&cfg.PollInterval, 200*time.Millisecond)
	return &Peers{cfg}, nil
}

// PeerVersion is what one daemon reports about its configuration.
type PeerVersion struct {
	Daemon      string
	Region      zone.Region
	Version     Version
	Next        upstream.Offset // offset of the next record that the daemon folds
	Since       time.Time       // when Version was put in force, by the clock of that daemon; zero if never
	Ready       bool            // a configuration is in force
	LogReadable bool
	Err         error // why the daemon did not answer; nil if it did
}

// Versions requests the version in force from every other daemon that is not dead and
// has not left. The requests run in parallel.
func (p *Peers) Versions(ctx context.Context) []PeerVersion {
	self := p.cfg.Links.Self().ID
	var out []PeerVersion
	for _, m := range p.cfg.Links.Members() {
		if m.ID != self && m.State != link.Dead && m.State != link.Left {
			out = append(out, PeerVersion{Daemon: m.ID, Region: m.Region})
		}
	}
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { p.fetchVersion(ctx, &out[i]) })
	}
	wg.Wait()
	return out
}

// fetchVersion requests the version of the daemon v.Daemon and fills in v.
func (p *Peers) fetchVersion(ctx context.Context, v *PeerVersion) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.VersionTimeout)
	defer cancel()
	conn, err := p.cfg.Links.Conn(ctx, v.Daemon)
	if err != nil {
		v.Err = err
		return
	}
	res, err := rpc.NewDRPCConfigPeerClient(conn).GetConfigVersion(ctx, &rpc.GetConfigVersionRequest{})
	if err != nil {
		v.Err = err
		return
	}
	v.Version, v.Next = Version(res.Version), upstream.Offset(res.Next)
	v.Ready, v.LogReadable = res.Ready, res.LogReadable
	if res.SinceUnixMs > 0 {
		v.Since = time.UnixMilli(res.SinceUnixMs)
	}
}

// AwaitVersion polls the other daemons until each has version v or a later one in force,
// or until ctx ends. It returns the last answers of those that do not have it.
func (p *Peers) AwaitVersion(ctx context.Context, v Version) (missing []PeerVersion) {
	for {
		missing = nil
		for _, pv := range p.Versions(ctx) {
			if pv.Err != nil || !pv.Ready || pv.Version < v {
				missing = append(missing, pv)
			}
		}
		if len(missing) == 0 || ctx.Err() != nil {
			return missing
		}
		pause.For(ctx, p.cfg.PollInterval)
	}
}

// NewestImage implements PeerSource. It tries the peers from the newest on, and of
// equally new ones those of the same region first.
func (p *Peers) NewestImage(ctx context.Context, next upstream.Offset) (Image, bool, error) {
	versions := p.Versions(ctx)
	ready := versions[:0]
	for _, v := range versions {
		if v.Err == nil && v.Ready {
			ready = append(ready, v)
		}
	}
	if len(ready) == 0 {
		return Image{}, false, errkind.New(errkind.NotReady, "no_peer", "none of %d daemons gave a configuration", len(versions))
	}
	region := p.cfg.Links.Self().Region
	sort.SliceStable(ready, func(i, j int) bool {
		if ready[i].Next != ready[j].Next {
			return ready[i].Next > ready[j].Next
		}
		return ready[i].Region == region && ready[j].Region != region
	})
	var lastErr error
	for _, v := range ready {
		if v.Next <= next {
			break
		}
		im, err := p.fetchImage(ctx, v.Daemon, next)
		if err == nil && im.Next > next {
			return im, true, nil
		}
		lastErr = err
	}
	// A nil lastErr gives a nil error: the peers answered and none is ahead.
	return Image{}, false, errkind.Wrap(errkind.NotReady, "peer_state", lastErr)
}

// fetchImage gets the image of a daemon, which answers only if its Image.Next is above
// next. The image is sent in parts; the first one carries the SHA-256 of the whole.
func (p *Peers) fetchImage(ctx context.Context, daemon string, next upstream.Offset) (Image, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.StateTimeout)
	defer cancel()
	conn, err := p.cfg.Links.Conn(ctx, daemon)
	if err != nil {
		return Image{}, err
	}
	stream, err := rpc.NewDRPCConfigPeerClient(conn).GetConfigState(ctx, &rpc.GetConfigStateRequest{HaveNext: uint64(next)})
	if err != nil {
		return Image{}, errors.Wrap(err, "request image")
	}
	defer func() { _ = stream.Close() }()
	var data, sum []byte
	for {
		part, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return Image{}, errors.New("the stream ended before the last part")
			}
			return Image{}, errors.Wrap(err, "receive image")
		}
		if part.Sum != nil {
			sum = part.Sum
		}
		if data = append(data, part.Payload...); len(data) > maxDecompressedBytes {
			return Image{}, errors.Errorf("the image exceeds %d bytes", maxDecompressedBytes)
		}
		if part.Last {
			break
		}
	}
	if got := sha256.Sum256(data); !bytes.Equal(got[:], sum) {
		return Image{}, errors.New("checksum of the image is wrong")
	}
	return decodeImage(data)
}
