package settings

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time span that is written with its unit, for example "500ms" or "2m".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. A number without a unit is
// rejected, because its unit could only be guessed.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Errorf(`want a time with its unit such as "500ms" or "2m", got %s`, b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf(`want a time with its unit such as "500ms" or "2m", got %q`, s)
	}
	*d = Duration(v)
	return nil
}
