package upstream

import (
	"encoding/json"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Envelope wraps a record with a unique id, by which its writer recognises the record when it
// reads the stream, also if the append answer was lost.
type Envelope struct {
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// NewEnvelope returns an Envelope with a new id around body, encoded as JSON. The error is of
// kind bad_input if body cannot be encoded.
func NewEnvelope(kind string, body any) (Envelope, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Envelope{}, errkind.Wrap(errkind.BadInput, "encode", err)
	}
	return Envelope{ID: ulid.Make().String(), Kind: kind, Body: data}, nil
}

// Encode returns the record as it is appended to the log. The error is of kind bad_input if
// e.Body is not valid JSON.
func (e Envelope) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errkind.Wrap(errkind.BadInput, "encode", err)
}

// DecodeEnvelope decodes a record. ok is false if data is not an envelope.
func DecodeEnvelope(data []byte) (e Envelope, ok bool) {
	err := json.Unmarshal(data, &e)
	return e, err == nil && e.ID != "" && e.Kind != ""
}
