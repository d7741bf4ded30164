package config

import (
	"context"
	"crypto/sha256"
	"sync"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// maxPartPayloadBytes is the largest payload of one message of GetConfigState.
const maxPartPayloadBytes = 128 << 10

// PeerServer serves the configuration of a Store to other daemons. Register it
// with rpc.DRPCRegisterConfigPeer.
type PeerServer struct {
	store *Store

	mu          sync.Mutex
	encoded     []byte          // cached image, because many daemons may start at the same time
	encodedNext upstream.Offset // Image.Next of encoded
}

// NewPeerServer returns a server for s.
func NewPeerServer(s *Store) *PeerServer { return &PeerServer{store: s} }

// GetConfigVersion implements rpc.DRPCConfigPeerServer.
func (p *PeerServer) GetConfigVersion(context.Context, *rpc.GetConfigVersionRequest) (*rpc.GetConfigVersionResponse, error) {
	status := p.store.Status()
	out := &rpc.GetConfigVersionResponse{Version: uint64(status.Version), Next: uint64(status.Next), Ready: status.Ready, LogReadable: status.LogErr == nil}
	if !status.Since.IsZero() {
		out.SinceUnixMs = status.Since.UnixMilli()
	}
	return out, nil
}

// GetConfigState implements rpc.DRPCConfigPeerServer. It sends nothing if the store is not
// ahead of the caller's position HaveNext.
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
		n := min(len(data), maxPartPayloadBytes)
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

// encode returns the encoded image, from the cache if nothing was folded since.
func (p *PeerServer) encode(im Image) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.encoded != nil && p.encodedNext == im.Next {
		return p.encoded, nil
	}
	data, err := encodeImage(im)
	if err == nil {
		p.encoded, p.encodedNext = data, im.Next
	}
	return data, err
}
