package config

import (
	"context"
	"crypto/sha256"
	"sync"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// peerPartBytes is the payload of one message of an image.
const peerPartBytes = 128 << 10

// PeerServer serves the configuration of a Store to other daemons. Register it
// with rpc.DRPCRegisterConfigPeer.
type PeerServer struct {
	store *Store

	mu      sync.Mutex
	encoded []byte // image at encodedNext, kept because daemons tend to start together
	next    upstream.Offset
}

// NewPeerServer returns a server for s.
func NewPeerServer(s *Store) *PeerServer { return &PeerServer{store: s} }

// GetConfigVersion implements rpc.DRPCConfigPeerServer.
func (p *PeerServer) GetConfigVersion(context.Context, *rpc.GetConfigVersionRequest) (*rpc.GetConfigVersionResponse, error) {
	f := p.store.Status()
	out := &rpc.GetConfigVersionResponse{Version: uint64(f.Version), Next: uint64(f.Next), Ready: f.Ready, LogReadable: f.LogErr == nil}
	if !f.Since.IsZero() {
		out.SinceUnixMs = f.Since.UnixMilli()
	}
	return out, nil
}

// GetConfigState implements rpc.DRPCConfigPeerServer.
func (p *PeerServer) GetConfigState(req *rpc.GetConfigStateRequest, stream rpc.DRPCConfigPeer_GetConfigStateStream) error {
	im, ready := p.store.Image()
	if !ready {
		return p.store.Ready()
	}
	if uint64(im.Next) <= req.HaveNext {
		return nil
	}
	data, err := p.encode(im)
	if err != nil {
		return errkind.Wrap(errkind.InternalFailure, "encode", err)
	}
	sum := sha256.Sum256(data)
	for first := true; first || len(data) > 0; first = false {
		n := min(len(data), peerPartBytes)
		part := &rpc.ConfigStatePart{Payload: data[:n], Last: n == len(data)}
		if first {
			part.Sum = sum[:]
		}
		if err := stream.Send(part); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func (p *PeerServer) encode(im Image) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.encoded != nil && p.next == im.Next {
		return p.encoded, nil
	}
	data, err := encodeImage(im)
	if err == nil {
		p.encoded, p.next = data, im.Next
	}
	return data, err
}
