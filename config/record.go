package config

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// recordFormat is the version of the record format that this code writes.
const recordFormat = 1

// maxPlainBytes bounds what a compressed record or snapshot may expand to.
const maxPlainBytes = 64 << 20

// compressAbove is the size from which a record is compressed. Smaller records
// gain less than the cost of the compressor's tables.
const compressAbove = 256

// The first byte of a record of stream config.
const (
	tagChange     = 'C' // JSON
	tagChangeFlat = 'c' // compressed JSON
	tagSnapshot   = 'S' // part of a snapshot
)

// change is one submitted change inside a record.
type change struct {
	ID          string    `json:"id"`
	By          string    `json:"by"`
	PublishedAt time.Time `json:"at"`
	Day         string    `json:"day"` // local date from which the ops hold
	Summary     string    `json:"summary,omitempty"`
	Sheet       bool      `json:"sheet,omitempty"` // replaces the whole content of Day
	Ops         []Op      `json:"ops"`
}

// changeRecord is a record that is accepted or refused whole. It holds several
// changes when many small ones arrive together.
type changeRecord struct {
	Format int      `json:"v"`
	Base   Version  `json:"base_version"`
	Today  string   `json:"today"` // local date of the publisher
	Parts  []change `json:"changes"`
}

// errNewerFormat tells that a later release wrote the record. Skipping it would
// make daemons of different releases diverge, so the fold stops there.
var errNewerFormat = errors.New("record was written by a newer release")

func encodeChange(rec changeRecord) ([]byte, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encode change")
	}
	if len(data) <= compressAbove {
		return append([]byte{tagChange}, data...), nil
	}
	return append([]byte{tagChangeFlat}, deflate(data)...), nil
}

// decodeChange reads a change record. Every error but errNewerFormat means that
// the record has no effect for any reader.
func decodeChange(data []byte) (changeRecord, error) {
	var rec changeRecord
	if len(data) == 0 {
		return rec, errors.New("empty record")
	}
	body := data[1:]
	switch data[0] {
	case tagChange:
	case tagChangeFlat:
		var err error
		if body, err = inflate(body); err != nil {
			return rec, err
		}
	default:
		return rec, errors.Errorf("unknown tag %q", data[0])
	}
	var head struct {
		Format int `json:"v"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return rec, errors.Wrap(err, "decode change")
	}
	if head.Format > recordFormat {
		return rec, errNewerFormat
	}
	if err := json.Unmarshal(body, &rec); err != nil {
		return rec, errors.Wrap(err, "decode change")
	}
	return rec, rec.check()
}

func (rec *changeRecord) check() error {
	if _, err := parseDate(rec.Today); err != nil || len(rec.Parts) == 0 {
		return errors.New("record has no date or no changes")
	}
	for _, p := range rec.Parts {
		if _, err := parseDate(p.Day); err != nil || p.ID == "" {
			return errors.New("change has no id or day")
		}
		for _, o := range p.Ops {
			if _, ok := o.Ref(); !ok {
				return errors.Errorf("change %s has an op without an entry", p.ID)
			}
		}
	}
	return nil
}

func deflate(data []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestCompression)
	if err != nil {
		panic(err) // the level is a valid constant
	}
	_, _ = w.Write(data) // a bytes.Buffer does not fail
	_ = w.Close()
	return buf.Bytes()
}

func inflate(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxPlainBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(out) > maxPlainBytes {
		return nil, errors.Errorf("expands to more than %d bytes", maxPlainBytes)
	}
	return out, nil
}
