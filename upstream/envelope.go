package upstream

import (
	"encoding/json"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Envelope wraps a record with an id of its own, by which a lost append answer
// is settled and repeated records are recognised.
type Envelope struct {
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// NewEnvelope returns an Envelope with a fresh id around body, encoded as JSON.
func NewEnvelope(kind string, body any) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, errkind.Wrap(errkind.BadInput, "encode", err)
	}
	return Envelope{ID: ulid.Make().String(), Kind: kind, Body: data}, nil
}

// Encode returns the bytes of the record.
func (e Envelope) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errkind.Wrap(errkind.BadInput, "encode", err)
}

// DecodeEnvelope reads a record. ok is false if data is not an envelope.
func DecodeEnvelope(data []byte) (e Envelope, ok bool) {
	err := json.Unmarshal(data, &e)
	return e, err == nil && e.ID != "" && e.Kind != ""
}
