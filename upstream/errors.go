package upstream

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrTrimmed matches, with errors.Is, the error of a read below the retention limit.
var ErrTrimmed = errors.New("offset is below the retention limit")

// TrimmedError is the error of a read below the retention limit. Oldest is the first offset
// that is still kept.
type TrimmedError struct {
	Stream string
	Oldest Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: %v: oldest is %d", e.Stream, ErrTrimmed, e.Oldest)
}

// Is reports whether target is ErrTrimmed.
func (e *TrimmedError) Is(target error) bool { return target == ErrTrimmed }
