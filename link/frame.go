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

// A frame starts with an unsigned varint: framePing, framePong, or the number of
// data bytes that follow plus frameData.
const (
	framePing = 0
	framePong = 1
	frameData = 1

	maxFrameBytes = 64 << 20
)

// framedConn probes the far end below drpc, where a probe can pass while a call
// is in flight, and closes the connection when it is silent. A closed connection
// fails the calls on it.
type framedConn struct {
	net.Conn
	reader   *bufio.Reader
	left     uint64 // data bytes of the current frame; used by the reader only
	interval time.Duration
	silent   time.Duration

	write    sync.Mutex
	pongOwed atomic.Bool
	wake     chan struct{}
	lastRead atomic.Int64 // nanoseconds since opened
	opened   time.Time
	ended    chan struct{}
	once     sync.Once
}

// newFramedConn frames c. It probes when nothing arrived for interval and closes c
// when nothing arrived for silent after a probe was due.
func newFramedConn(c net.Conn, interval, silent time.Duration) *framedConn {
	f := &framedConn{Conn: c, reader: bufio.NewReader(c), interval: interval, silent: silent,
		wake: make(chan struct{}, 1), opened: time.Now(), ended: make(chan struct{})}
	go f.probe()
	return f
}

// Read implements net.Conn. It is called from one goroutine only.
func (f *framedConn) Read(p []byte) (int, error) {
	for f.left == 0 {
		v, err := binary.ReadUvarint(f.reader)
		if err != nil {
			return 0, err
		}
		f.lastRead.Store(int64(time.Since(f.opened)))
		switch {
		case v == framePing:
			// The reader must not wait for the writer, or two ends with full
			// buffers would wait for each other.
			f.pongOwed.Store(true)
			select {
			case f.wake <- struct{}{}:
			default:
			}
		case v == framePong:
		case v-frameData > maxFrameBytes:
			return 0, errors.Errorf("frame of %d bytes", v-frameData)
		default:
			f.left = v - frameData
		}
	}
	n, err := f.reader.Read(p[:min(uint64(len(p)), f.left)])
	f.left -= uint64(n)
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
	f.write.Lock()
	defer f.write.Unlock()
	head := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(p)), uint64(len(p))+frameData)
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
	f.once.Do(func() { close(f.ended) })
	return f.Conn.Close()
}

func (f *framedConn) control(v byte) {
	f.write.Lock()
	defer f.write.Unlock()
	_, _ = f.Conn.Write([]byte{v}) // an error shows in the reader
}

// probe sends pings and pongs until the connection ends.
func (f *framedConn) probe() {
	tick := time.NewTicker(f.interval)
	defer tick.Stop()
	silence := time.AfterFunc(time.Hour, func() { _ = f.Close() })
	silence.Stop()
	defer silence.Stop()
	for {
		select {
		case <-f.ended:
			return
		case <-f.wake:
			if f.pongOwed.Swap(false) {
				f.control(framePong)
			}
		case <-tick.C:
			quiet := time.Since(f.opened) - time.Duration(f.lastRead.Load())
			if quiet < f.interval {
				silence.Stop()
				continue
			}
			if quiet < 2*f.interval {
				// The timer also ends a write that blocks on a full buffer.
				silence.Reset(f.silent)
			}
			f.control(framePing)
		}
	}
}
