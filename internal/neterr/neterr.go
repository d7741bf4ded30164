// Package neterr prepares errors of connections for logs.
package neterr

import (
	"context"
	"io"
	"net"

	"github.com/go-faster/errors"
)

// errUnreadable replaces errors that may quote what was received.
var errUnreadable = errors.New("the other side sent what cannot be read, or closed the connection")

// WithoutContent returns the part of err that comes from the connection itself: it could not be made, broke,
// ended, or took too long. It replaces other errors of clients and servers, which may quote what was received,
// by one that quotes nothing. Answers of the log hold the keys of tenants.
func WithoutContent(err error) error {
	if err == nil {
		return nil
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		return opErr
	}
	for _, known := range []error{context.DeadlineExceeded, context.Canceled, io.ErrUnexpectedEOF, io.EOF} {
		if errors.Is(err, known) {
			return known
		}
	}
	return errUnreadable
}
