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
	// maxSnapshotParts and maxOpenSnapshots bound the memory that unfinished snapshots use.
	maxSnapshotParts = 4096
	maxOpenSnapshots = 4
)

// partHeader precedes the payload of a snapshot record.
type partHeader struct {
	ID    string          `json:"id"`
	Part  int             `json:"part"` // from 0
	Parts int             `json:"parts"`
	Sum   string          `json:"sum"` // SHA-256 of the joined payloads
	Next  upstream.Offset `json:"next"`
	At    time.Time       `json:"at"`
}

// encodeImage returns the compressed form of an image, as used in snapshots and
// between peers.
func encodeImage(im Image) ([]byte, error) {
	data, err := json.Marshal(im)
	if err != nil {
		return nil, errors.Wrap(err, "encode image")
	}
	return deflate(data), nil
}

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

// encodeSnapshot returns the records of a snapshot, each with at most partBytes of payload.
func encodeSnapshot(id string, im Image, at time.Time, partBytes int) ([][]byte, error) {
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
		head, err := json.Marshal(partHeader{id, i, len(chunks), hex.EncodeToString(sum[:]), im.Next, at})
		if err != nil {
			return nil, errors.Wrap(err, "encode part")
		}
		rec := append([]byte{tagSnapshot}, head...)
		rec = append(rec, '\n')
		out = append(out, append(rec, c...))
	}
	return out, nil
}

func decodePart(data []byte) (partHeader, []byte, bool) {
	var h partHeader
	if len(data) == 0 || data[0] != tagSnapshot {
		return h, nil, false
	}
	head, payload, ok := bytes.Cut(data[1:], []byte{'\n'})
	if !ok || json.Unmarshal(head, &h) != nil {
		return h, nil, false
	}
	ok = h.ID != "" && h.Parts >= 1 && h.Parts <= maxSnapshotParts && h.Part >= 0 && h.Part < h.Parts
	return h, payload, ok
}

// snapshotSet collects parts. A snapshot counts only when all its parts are
// present and their checksum is right; anything else is ignored.
type snapshotSet struct {
	open  map[string]*openSnapshot
	order []string
}

type openSnapshot struct {
	head  partHeader
	parts map[int][]byte
}

// add takes a record and returns the image that it completes, if any.
func (s *snapshotSet) add(data []byte) (Image, partHeader, bool) {
	h, payload, ok := decodePart(data)
	if !ok {
		return Image{}, h, false
	}
	if s.open == nil {
		s.open = make(map[string]*openSnapshot)
	}
	o := s.open[h.ID]
	if o == nil {
		o = &openSnapshot{head: h, parts: make(map[int][]byte)}
		s.open[h.ID] = o
		s.order = append(s.order, h.ID)
		if len(s.order) > maxOpenSnapshots {
			delete(s.open, s.order[0])
			s.order = s.order[1:]
		}
	}
	o.parts[h.Part] = payload
	if len(o.parts) < o.head.Parts {
		return Image{}, h, false
	}
	delete(s.open, h.ID)
	s.order = slices.DeleteFunc(s.order, func(id string) bool { return id == h.ID })
	im, err := o.image()
	return im, o.head, err == nil
}

func (o *openSnapshot) image() (Image, error) {
	var data []byte
	for i := range o.head.Parts {
		data = append(data, o.parts[i]...)
	}
	if sum := sha256.Sum256(data); hex.EncodeToString(sum[:]) != o.head.Sum {
		return Image{}, errors.New("checksum of snapshot is wrong")
	}
	im, err := decodeImage(data)
	if err == nil && im.Next != o.head.Next {
		return Image{}, errors.New("snapshot and header disagree on the offset")
	}
	return im, err
}
