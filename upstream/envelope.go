package upstream

import (
	"encoding/json"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Envelope wraps a record with a unique id, by which a record is found whose append answer
// was lost, and repeated records are recognised.
type Envelope struct {
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// NewEnvelope returns an Envelope with a new id around body, encoded as JSON.
func NewEnvelope(kind string, body any) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, errkind.Wrap(errkind.BadInput, "encode", err)
	}
	return Envelope{ID: ulid.Make().String(), Kind: kind, Body: data}, nil
}

// Encode returns the record as it is appended to the log.
func (e Envelope) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errkind.Wrap(errkind.BadInput, "encode", err)
}

// DecodeEnvelope decodes a record. ok is false if data is not an envelope.
func DecodeEnvelope(data []byte) (e Envelope, ok bool) {
	err := json.Unmarshal(data, &e)
	return e, err == nil && e.ID != "" && e.Kind != ""
}
