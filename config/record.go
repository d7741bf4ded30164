package config

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// recordFormatVersion is the version of the record format that this release writes
// and the newest that it reads.
const recordFormatVersion = 1

// maxDecompressedBytes is the largest decompressed size of a record or image.
const maxDecompressedBytes = 64 << 20

// compressionThresholdBytes is the size of the JSON above which a record is compressed.
// Smaller records gain less than the compressor's tables cost.
const compressionThresholdBytes = 256

// The first byte of a record of the stream config tells its type.
const (
	tagChange           = 'C' // JSON
	tagCompressedChange = 'c' // compressed JSON
	tagSnapshotPart     = 'S' // part of a snapshot
)

// change is one submitted change inside a record.
type change struct {
	ID          string    `json:"id"`
	By          string    `json:"by"`
	PublishedAt time.Time `json:"at"`  // by the clock of the publisher
	Day         string    `json:"day"` // local date from which the ops hold
	Summary     string    `json:"summary,omitempty"`
	Sheet       bool      `json:"sheet,omitempty"` // replaces the whole content of Day
	Ops         []Op      `json:"ops"`
}

// changeRecord is a record of one or more changes. All of them are accepted or none. It
// is accepted only if Base is the version of the state that it is folded into and no
// change is for a day that is over.
type changeRecord struct {
	FormatVersion int      `json:"v"` // see recordFormatVersion
	Base          Version  `json:"base_version"`
	Today         string   `json:"today"` // local date of the publisher
	Changes       []change `json:"changes"`
}

// errNewerFormat is returned for a record that a later release wrote. Skipping it
// would make daemons of different releases diverge, so the fold stops there.
var errNewerFormat = errors.New("record was written by a newer release")

// encodeChange returns the record as it is appended to the log.
func encodeChange(rec changeRecord) ([]byte, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encode change")
	}
	if len(data) <= compressionThresholdBytes {
		return append([]byte{tagChange}, data...), nil
	}
	return append([]byte{tagCompressedChange}, deflate(data)...), nil
}

// decodeChange decodes and validates a change record. Every error but
// errNewerFormat means that all readers ignore the record.
func decodeChange(data []byte) (changeRecord, error) {
	var rec changeRecord
	if len(data) == 0 {
		return rec, errors.New("empty record")
	}
	body := data[1:]
	switch data[0] {
	case tagChange:
	case tagCompressedChange:
		var err error
		if body, err = inflate(body); err != nil {
			return rec, err
		}
	default:
		return rec, errors.Errorf("unknown record tag %q", data[0])
	}
	var header struct {
		FormatVersion int `json:"v"`
	}
	if err := json.Unmarshal(body, &header); err != nil {
		return rec, errors.Wrap(err, "decode change")
	}
	if header.FormatVersion > recordFormatVersion {
		return rec, errNewerFormat
	}
	if err := json.Unmarshal(body, &rec); err != nil {
		return rec, errors.Wrap(err, "decode change")
	}
	return rec, rec.validate()
}

// validate checks the fields that the fold relies on.
func (rec *changeRecord) validate() error {
	if _, err := parseDate(rec.Today); err != nil || len(rec.Changes) == 0 {
		return errors.New("record has no valid date or no changes")
	}
	for _, c := range rec.Changes {
		if _, err := parseDate(c.Day); err != nil || c.ID == "" {
			return errors.New("change has no id or no valid day")
		}
		for _, o := range c.Ops {
			if _, ok := o.Ref(); !ok {
				return errors.Errorf("change %s has an op that does not name exactly one entry", c.ID)
			}
		}
	}
	return nil
}

func deflate(data []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestCompression)
	if err != nil {
		panic(err) // unreachable: the level is valid
	}
	_, _ = w.Write(data) // writing to a bytes.Buffer does not fail
	_ = w.Close()
	return buf.Bytes()
}

// inflate is the inverse of deflate. It fails if the result exceeds maxDecompressedBytes.
func inflate(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(out) > maxDecompressedBytes {
		return nil, errors.Errorf("decompressed size exceeds %d bytes", maxDecompressedBytes)
	}
	return out, nil
}
