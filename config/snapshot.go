package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/upstream"
)

const (
	// maxSnapshotParts and maxPartialSnapshots bound the memory that incomplete snapshots use.
	maxSnapshotParts    = 4096
	maxPartialSnapshots = 4
)

// partHeader is the header of a snapshot record. A snapshot consists of one or more
// parts, one per record: the tag, the header as JSON, a newline and the payload.
type partHeader struct {
	ID        string          `json:"id"`
	Part      int             `json:"part"` // from 0
	Parts     int             `json:"parts"`
	Sum       string          `json:"sum"` // hexadecimal SHA-256 of the payloads of all parts
	Next      upstream.Offset `json:"next"`
	WrittenAt time.Time       `json:"at"`
}

// encodeImage returns the compressed JSON of an image, as used in snapshots and in
// transfers between peers.
func encodeImage(im Image) ([]byte, error) {
	data, err := json.Marshal(im)
	if err != nil {
		return nil, errors.Wrap(err, "encode image")
	}
	return deflate(data), nil
}

// decodeImage is the inverse of encodeImage.
func decodeImage(data []byte) (Image, error) {
	plain, err := inflate(data)
	if err != nil {
		return Image{}, err
	}
	im := emptyImage()
	if err := json.Unmarshal(plain, &im); err != nil {
		return Image{}, errors.Wrap(err, "decode image")
	}
	if im.State == nil || upstream.Offset(im.State.Version) > im.Next {
		return Image{}, errors.New("image has no state or a version beyond its offset")
	}
	im.State = im.State.clone() // fills maps that the encoding left out
	return im, nil
}

// encodeSnapshot returns the records of a snapshot, each with at most partBytes bytes of payload.
func encodeSnapshot(id string, im Image, writtenAt time.Time, partBytes int) ([][]byte, error) {
	data, err := encodeImage(im)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	chunks := slices.Collect(slices.Chunk(data, partBytes))
	if len(chunks) > maxSnapshotParts {
		return nil, errors.Errorf("snapshot needs %d parts, limit is %d", len(chunks), maxSnapshotParts)
	}
	var out [][]byte
	for i, c := range chunks {
		headerJSON, err := json.Marshal(partHeader{id, i, len(chunks), hex.EncodeToString(sum[:]), im.Next, writtenAt})
		if err != nil {
			return nil, errors.Wrap(err, "encode part")
		}
		rec := append([]byte{tagSnapshotPart}, headerJSON...)
		rec = append(rec, '\n')
		out = append(out, append(rec, c...))
	}
	return out, nil
}

// decodePart splits a record into header and payload, and returns false if it is not a
// valid part of a snapshot.
func decodePart(data []byte) (partHeader, []byte, bool) {
	var h partHeader
	if len(data) == 0 || data[0] != tagSnapshotPart {
		return h, nil, false
	}
	headerJSON, payload, ok := bytes.Cut(data[1:], []byte{'\n'})
	if !ok || json.Unmarshal(headerJSON, &h) != nil {
		return h, nil, false
	}
	ok = h.ID != "" && h.Parts >= 1 && h.Parts <= maxSnapshotParts && h.Part >= 0 && h.Part < h.Parts
	return h, payload, ok
}

// snapshotAssembler assembles snapshots from the records of the log. A snapshot with
// missing parts or a wrong checksum is ignored. The zero value is ready for use.
type snapshotAssembler struct {
	partial map[string]*partialSnapshot // by snapshot id
	order   []string                    // ids in partial, oldest first
}

// partialSnapshot holds the parts of one snapshot that have been read so far.
type partialSnapshot struct {
	header partHeader     // of the first part read
	parts  map[int][]byte // payloads by part number
}

// add adds a record. If it completes a snapshot, add returns the image, a header of the
// snapshot and true. Records that are not snapshot parts are ignored.
func (s *snapshotAssembler) add(data []byte) (Image, partHeader, bool) {
	h, payload, ok := decodePart(data)
	if !ok {
		return Image{}, h, false
	}
	if s.partial == nil {
		s.partial = make(map[string]*partialSnapshot)
	}
	p := s.partial[h.ID]
	if p == nil {
		p = &partialSnapshot{header: h, parts: make(map[int][]byte)}
		s.partial[h.ID] = p
		s.order = append(s.order, h.ID)
		if len(s.order) > maxPartialSnapshots {
			delete(s.partial, s.order[0])
			s.order = s.order[1:]
		}
	}
	p.parts[h.Part] = payload
	if len(p.parts) < p.header.Parts {
		return Image{}, h, false
	}
	delete(s.partial, h.ID)
	s.order = slices.DeleteFunc(s.order, func(id string) bool { return id == h.ID })
	im, err := p.decode()
	return im, p.header, err == nil
}

// decode returns the image of a snapshot whose parts are all present.
func (p *partialSnapshot) decode() (Image, error) {
	var data []byte
	for i := range p.header.Parts {
		data = append(data, p.parts[i]...)
	}
	if sum := sha256.Sum256(data); hex.EncodeToString(sum[:]) != p.header.Sum {
		return Image{}, errors.New("checksum of the snapshot is wrong")
	}
	im, err := decodeImage(data)
	if err == nil && im.Next != p.header.Next {
		return Image{}, errors.New("next offset of the image differs from that in the header")
	}
	return im, err
}
