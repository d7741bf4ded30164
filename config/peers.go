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
	// VersionTimeout bounds the question for a version. Default 1 s.
	VersionTimeout time.Duration
	// StateTimeout bounds the transfer of an image. Default 30 s.
	StateTimeout time.Duration
	// PollInterval is the pause between two rounds of Await. Default 200 ms.
	PollInterval time.Duration
}

// Peers asks the other daemons for their configuration. It implements PeerSource.
type Peers struct {
	cfg PeersConfig
}

// NewPeers returns a Peers.
func NewPeers(cfg PeersConfig) (*Peers, error) {
	if cfg.Links == nil {
		return nil, errkind.New(errkind.BadInput, "config_peers", "Links is required")
	}
	setDefault(&cfg.VersionTimeout, time.Second)
	setDefault(&cfg.StateTimeout, 30*time.Second)
	setDefault(&cfg.PollInterval, 200*time.Millisecond)
	return &Peers{cfg}, nil
}

// PeerVersion is what one daemon says about its configuration.
type PeerVersion struct {
	Daemon      string
	Region      zone.Region
	Version     Version
	Next        upstream.Offset
	Since       time.Time // clock of that daemon
	Ready       bool
	LogReadable bool
	Err         error // the daemon did not answer
}

// Versions asks every known daemon but this one for its version in force.
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
		wg.Go(func() { p.version(ctx, &out[i]) })
	}
	wg.Wait()
	return out
}

func (p *Peers) version(ctx context.Context, v *PeerVersion) {
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

// AwaitVersion polls the daemons until each has version v in force or ctx ends. It
// returns the last answer of those that do not.
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

// NewestImage implements PeerSource. Of equally new peers it prefers one of the same region.
func (p *Peers) NewestImage(ctx context.Context, have upstream.Offset) (Image, bool, error) {
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
	var last error
	for _, v := range ready {
		if v.Next <= have {
			break
		}
		im, err := p.state(ctx, v.Daemon, have)
		if err == nil && im.Next > have {
			return im, true, nil
		}
		last = err
	}
	return Image{}, false, errkind.Wrap(errkind.NotReady, "peer_state", last)
}

func (p *Peers) state(ctx context.Context, daemon string, have upstream.Offset) (Image, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.StateTimeout)
	defer cancel()
	conn, err := p.cfg.Links.Conn(ctx, daemon)
	if err != nil {
		return Image{}, err
	}
	stream, err := rpc.NewDRPCConfigPeerClient(conn).GetConfigState(ctx, &rpc.GetConfigStateRequest{HaveNext: uint64(have)})
	if err != nil {
		return Image{}, errors.Wrap(err, "get state")
	}
	defer func() { _ = stream.Close() }()
	var data, sum []byte
	for {
		part, err := stream.Recv()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return Image{}, errors.New("the stream ended before the last part")
			}
			return Image{}, errors.Wrap(err, "receive state")
		}
		if part.Sum != nil {
			sum = part.Sum
		}
		if data = append(data, part.Payload...); len(data) > maxPlainBytes {
			return Image{}, errors.Errorf("the state exceeds %d bytes", maxPlainBytes)
		}
		if part.Last {
			break
		}
	}
	if got := sha256.Sum256(data); !bytes.Equal(got[:], sum) {
		return Image{}, errors.New("checksum of the state is wrong")
	}
	return decodeImage(data)
}
