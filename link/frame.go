package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// A frame starts with an unsigned varint: framePing, framePong, or the number of data bytes
// that follow plus frameDataBase. No frame has zero data bytes, so that framePong is
// unambiguous.
const (
	framePing     = 0
	framePong     = 1
	frameDataBase = 1

	maxFrameBytes = 64 << 20
)

// framedConn sends keepalive pings below drpc, where they pass also while a call is in
// flight, and closes the connection when the far end is unresponsive. Closing it makes the
// calls on it fail.
type framedConn struct {
	net.Conn
	reader            *bufio.Reader
	dataLeft          uint64 // data bytes of the current frame not read yet; used by the reader only
	keepaliveInterval time.Duration
	keepaliveTimeout  time.Duration

	writeMu     sync.Mutex
	pongPending atomic.Bool
	pongSignal  chan struct{} // tells keepAlive that pongPending was set
	lastRead    atomic.Int64  // nanoseconds since opened
	opened      time.Time
	closed      chan struct{}
	closeOnce   sync.Once
}

// newFramedConn frames c. It sends a ping when nothing arrived for keepaliveInterval, and
// closes c when nothing arrives for keepaliveTimeout after that.
func newFramedConn(c net.Conn, keepaliveInterval, keepaliveTimeout time.Duration) *framedConn {
	f := &framedConn{Conn: c, reader: bufio.NewReader(c), keepaliveInterval: keepaliveInterval,
		keepaliveTimeout: keepaliveTimeout, pongSignal: make(chan struct{}, 1), opened: time.Now(), closed: make(chan struct{})}
	go f.keepAlive()
	return f
}

// Read implements net.Conn. It is called from one goroutine only.
func (f *framedConn) Read(p []byte) (int, error) {
	for f.dataLeft == 0 {
		v, err := binary.ReadUvarint(f.reader)
		if err != nil {
			return 0, err
		}
		f.lastRead.Store(int64(time.Since(f.opened)))
		switch {
		case v == framePing:
			// The reader must not wait for the writer, or two ends with full
			// buffers would wait for each other.
			f.pongPending.Store(true)
			select {
			case f.pongSignal <- struct{}{}:
			default:
			}
		case v == framePong:
		case v-frameDataBase > maxFrameBytes:
			return 0, errors.Errorf("frame of %d bytes exceeds the limit", v-frameDataBase)
		default:
			f.dataLeft = v - frameDataBase
		}
	}
	n, err := f.reader.Read(p[:min(uint64(len(p)), f.dataLeft)])
	f.dataLeft -= uint64(n)
	if n > 0 {
		f.lastRead.Store(int64(time.Since(f.opened)))
	}
	return n, err
}

// Write implements net.Conn.
func (f *framedConn) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	head := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(p)), uint64(len(p))+frameDataBase)
	if _, err := f.Conn.Write(append(head, p...)); err != nil {
		if errors.Is(err, io.ErrShortWrite) {
			return 0, io.ErrUnexpectedEOF
		}
		return 0, err
	}
	return len(p), nil
}

// Close implements net.Conn.
func (f *framedConn) Close() error {
	f.closeOnce.Do(func() { close(f.closed) })
	return f.Conn.Close()
}

// writeControl writes a frame without data: framePing or framePong.
func (f *framedConn) writeControl(v byte) {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	_, _ = f.Conn.Write([]byte{v}) // the reader sees the error, too
}

// keepAlive sends pings and pongs until the connection is closed.
func (f *framedConn) keepAlive() {
	tick := time.NewTicker(f.keepaliveInterval)
	defer tick.Stop()
	closeTimer := time.AfterFunc(time.Hour, func() { _ = f.Close() })
	closeTimer.Stop()
	defer closeTimer.Stop()
	for {
		select {
		case <-f.closed:
			return
		case <-f.pongSignal:
			if f.pongPending.Swap(false) {
				f.writeControl(framePong)
			}
		case <-tick.C:
			sinceRead := time.Since(f.opened) - time.Duration(f.lastRead.Load())
			if sinceRead < f.keepaliveInterval {
				closeTimer.Stop()
				continue
			}
			if sinceRead < 2*f.keepaliveInterval {
				// Only the first tick of a silence starts the timer. A timer, unlike this loop,
				// also ends a write that blocks on a full buffer.
				closeTimer.Reset(f.keepaliveTimeout)
			}
			f.writeControl(framePing)
		}
	}
}
