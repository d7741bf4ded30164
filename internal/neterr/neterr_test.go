package neterr

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// TestContentIsNotQuoted guards against keys of tenants in the log: the error of an HTTP client about an answer that is no
// HTTP quotes it.
func TestContentIsNotQuoted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "secret-key secret-key\r\n\r\n")
			_ = conn.Close()
		}
	}()
	client := http.Client{Timeout: 5 * time.Second}
	_, err = client.Get("http://" + listener.Addr().String()) //nolint:bodyclose // there is no answer
	if err == nil {
		t.Fatal("an answer that is no HTTP was read")
	}
	if text := WithoutContent(err).Error(); strings.Contains(text, "secret") {
		t.Errorf("the error quotes the answer: %s", text)
	}
}

// TestCauseIsKept guards against errors that do not say any more that a connection was refused or a call took too long.
func TestCauseIsKept(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	for _, err := range []error{refused, context.DeadlineExceeded, context.Canceled, io.EOF, io.ErrUnexpectedEOF} {
		if got := WithoutContent(errors.Wrap(err, "quoted secret")); got.Error() != err.Error() {
			t.Errorf("%v became %v", err, got)
		}
	}
	if WithoutContent(nil) != nil {
		t.Error("nil became an error")
	}
}
