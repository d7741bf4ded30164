package connlimit

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The phases of a connection.
const (
	phaseWaiting   = iota // before a request, or receiving its head
	phaseReceiving        // receiving the body of a request
	phaseServing          // a complete request is served; the connection is not closed for others
)

const (
	// freeBytes is the memory of a head or a message that is not reserved. Each connection has read buffers of that
	// size anyway, and the heads of ordinary requests take less.
	freeBytes = 4 << 10
	// headLineBytes is the memory that one header line takes besides its bytes, for its entry in the map of the header.
	headLineBytes = 128
	// lingerTime and lingerBytes bound how long a connection whose head is refused is still read, so that the client
	// gets the answer before the reset that follows unread bytes.
	lingerTime, lingerBytes = 500 * time.Millisecond, 256 << 10
	// writeTime bounds one write, so that a client that does not read its answers does not keep a connection. The
	// largest answer, a page of 1 MB between daemons, takes 4 s on a link of 2 Mbit/s.
	writeTime = 20 * time.Second
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	reserved int64 // bytes, guarded by the mutex of the Budget

	phase        atomic.Int32
	proven       atomic.Bool  // has completed a request
	lastProgress atomic.Int64 // Unix ns of the last byte or of the end of the last request
	receivedFrom atomic.Int64 // Unix ns of the first byte of the request
	received     atomic.Int64 // bytes of the request
	writingSince atomic.Int64 // Unix ns of the begin of the write in progress, 0 if there is none
	isDropped    atomic.Bool

	// The fields below belong to the goroutine that reads in phaseWaiting.
	headBytes, headLines int64
	headDeadline         time.Time
	headMemory           int64 // reserved for the head
	bodyEnded            bool  // the body of the request was received; used by the goroutine that serves it

	closeOnce sync.Once
	closeErr  error
}

func newConn(l *Listener, inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: l}
	c.lastProgress.Store(time.Now().UnixNano())
	c.expectHead()
	return c
}

// goesBefore reports whether c is closed before other to make room: the one without progress for longest. Of daemons,
// which speak no HTTP, connections that have never completed a call go first, so that strangers do not displace them.
// Callers are strangers all alike: a new one would else go before idle connections of a crowd that has made one request.
func (c *Conn) goesBefore(other *Conn) bool {
	if p, q := c.proven.Load(), other.proven.Load(); p != q && c.listener.opts.Heads == nil {
		return q
	}
	return c.lastProgress.Load() < other.lastProgress.Load()
}

// stalled reports whether c is to lose its memory to others: it has sent nothing for stallTime, or little in total.
func (c *Conn) stalled(now time.Time) bool {
	if c.phase.Load() == phaseServing {
		return false
	}
	if now.UnixNano()-c.lastProgress.Load() > int64(stallTime) {
		return true
	}
	age := time.Duration(now.UnixNano() - c.receivedFrom.Load())
	return age > slowAge && float64(c.received.Load()) < age.Seconds()*slowRate
}

// drop makes all reads of c fail from now on. The request, if there is one, can still be answered.
func (c *Conn) drop(reason string) {
	if !c.isDropped.Swap(true) {
		c.listener.dropped(reason)
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Dropped reports whether c lost its memory or its place to others.
func (c *Conn) Dropped() bool { return c.isDropped.Load() }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.isDropped.Load() { // also if it was dropped meanwhile
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite ends the answers of c. Package net/http uses it to end a connection without a reset.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.remove(c)
		c.lower(0)
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return 0, err
	}
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// isBusy reports whether c is not to be closed for others: it serves a request whose client reads its answers.
func (c *Conn) isBusy() bool {
	since := c.writingSince.Load()
	return c.phase.Load() == phaseServing && (since == 0 || time.Now().UnixNano()-since < int64(stallTime))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	isHead := c.listener.opts.Heads != nil && c.phase.Load() == phaseWaiting
	if isHead {
		if err := c.checkHead(p); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.progress(n)
	switch {
	case isHead:
		c.countHead(p[:n])
		if c.headBytes > 0 { // an idle connection that is closed is nothing to report
			c.countTimeout(err)
		}
	case c.listener.opts.Heads == nil:
		c.countTimeout(err)
		if messageErr := c.checkMessage(); messageErr != nil {
			return 0, messageErr
		}
	}
	return n, err
}

// countTimeout counts a read that failed because of its deadline.
func (c *Conn) countTimeout(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.isDropped.Load() {
		c.CountTimeout()
	}
}

// progress records n received bytes.
func (c *Conn) progress(n int) {
	if n == 0 {
		return
	}
	now := time.Now().UnixNano()
	c.lastProgress.Store(now)
	if c.received.Add(int64(n)) == int64(n) {
		c.receivedFrom.Store(now)
	}
}

// reserve raises what c holds to total bytes and reports whether that is within the budget.
func (c *Conn) reserve(total int64) bool {
	return !c.isDropped.Load() && (c.listener.opts.Budget == nil || c.listener.opts.Budget.reserve(c, total))
}

// lower gives back what c holds above total bytes.
func (c *Conn) lower(total int64) {
	if c.listener.opts.Budget != nil {
		c.listener.opts.Budget.lower(c, total)
	}
}

// expectHead prepares c for the head of the next request.
func (c *Conn) expectHead() {
	c.headBytes, c.headLines, c.headMemory = 0, 0, 0
	c.received.Store(0)
	if heads := c.listener.opts.Heads; heads != nil {
		c.headDeadline = time.Now().Add(heads().Idle)
	}
	c.phase.Store(phaseWaiting)
}

// checkHead sets the deadline of the next read of a head, and refuses a head that is over the limit: all bytes that were
// read so far belong to it, since package net/http reads on only before its end.
func (c *Conn) checkHead(p []byte) error {
	if c.headBytes > int64(c.listener.opts.Heads().MaxBytes) {
		return c.refuseHead(p, http.StatusRequestHeaderFieldsTooLarge, DroppedHead)
	}
	if memory := c.headBytes + c.headLines*headLineBytes; memory > freeBytes {
		if !c.reserve(memory) {
			return c.refuseHead(p, http.StatusServiceUnavailable, DroppedMemory)
		}
		c.headMemory = memory
	}
	return c.SetReadDeadline(c.headDeadline)
}

// countHead counts received bytes of a head.
func (c *Conn) countHead(data []byte) {
	if len(data) == 0 {
		return
	}
	if c.headBytes == 0 {
		c.headDeadline = time.Now().Add(c.listener.opts.Heads().Timeout)
	}
	c.headBytes += int64(len(data))
	c.headLines += int64(bytes.Count(data, []byte{'\n'}))
}

// refuseHead answers a request whose head is not read to its end. The error that it returns makes package net/http close
// the connection without an answer of its own. p is a buffer.
func (c *Conn) refuseHead(p []byte, status int, reason string) error {
	if c.isDropped.Load() {
		return os.ErrDeadlineExceeded // the answer is sent, or the connection is closed for others
	}
	answer := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}}
	if status == http.StatusServiceUnavailable {
		answer.Header.Set("Retry-After", "1") // a crowd of unfinished heads is over after the time limit of heads at the latest
	}
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	if err := answer.Write(c.Conn); err == nil && c.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		for total := 0; total < lingerBytes; {
			n, err := c.Conn.Read(p)
			if err != nil {
				break
			}
			total += n
		}
	}
	c.drop(reason)
	return os.ErrDeadlineExceeded
}

// checkMessage bounds the message that c receives. Received bytes are reserved twice, since the reader of the messages
// doubles its buffer.
func (c *Conn) checkMessage() error {
	received, opts := c.received.Load(), &c.listener.opts
	if c.phase.Load() == phaseServing || received == 0 {
		return nil
	}
	if opts.MaxMessage > 0 && received > opts.MaxMessage {
		c.drop(DroppedMessage)
		return io.ErrUnexpectedEOF
	}
	if received <= freeBytes {
		return nil // a call that has ended can leave some bytes
	}
	if !c.reserve(2 * received) {
		c.drop(DroppedMemory)
		return os.ErrDeadlineExceeded
	}
	if opts.MessageTime > 0 {
		return c.SetReadDeadline(time.Unix(0, c.receivedFrom.Load()).Add(opts.MessageTime))
	}
	return nil
}

// startServing marks that a request was received. From then on c does not lose its memory to others.
func (c *Conn) startServing() {
	if budget := c.listener.opts.Budget; budget != nil {
		budget.mu.Lock()
		defer budget.mu.Unlock()
	}
	c.phase.Store(phaseServing)
	_ = c.SetReadDeadline(time.Time{})
}

// ServeMessage marks the message that c receives as complete. The returned function ends its request.
func (c *Conn) ServeMessage() (end func()) {
	c.startServing()
	return func() {
		c.lower(0)
		c.proven.Store(true)
		c.lastProgress.Store(time.Now().UnixNano())
		c.received.Store(0)
		c.phase.Store(phaseWaiting)
	}
}
