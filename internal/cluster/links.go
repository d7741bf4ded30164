package cluster

import (
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/zone"
)

// links holds the forwarders of everything that crosses regions.
type links struct {
	delay time.Duration // zero means no forwarders

	mu       sync.Mutex
	state    LinkState
	byTarget map[string]*Forwarder
}

// address returns the address under which region from reaches a target in region in.
func (l *links) address(target string, in, from zone.Region) (string, error) {
	if l.delay == 0 || in == from {
		return target, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.byTarget[target]; f != nil {
		return f.Address(), nil
	}
	f, err := NewForwarder(target, l.delay)
	if err != nil {
		return "", err
	}
	f.SetState(l.state)
	l.byTarget[target] = f
	return f.Address(), nil
}

func (l *links) set(s LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	for _, f := range l.byTarget {
		f.SetState(s)
	}
}

func (l *links) bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n int64
	for _, f := range l.byTarget {
		n += f.Bytes()
	}
	return n
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.byTarget {
		f.Close()
	}
}
