package cluster

import (
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/zone"
)

// regionForwarders holds the forwarders for all traffic between regions, one for each
// target address, and their common state.
type regionForwarders struct {
	delay time.Duration // one way; 0 means that no forwarders are used

	mu       sync.Mutex
	state    LinkState
	byTarget map[string]*Forwarder // by target address
}

// address returns the address under which fromRegion reaches target, an address in
// targetRegion. It starts a forwarder if the two regions differ and none exists yet.
func (l *regionForwarders) address(target string, targetRegion, fromRegion zone.Region) (string, error) {
	if l.delay == 0 || targetRegion == fromRegion {
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

// set sets the state of all forwarders, also of those started later.
func (l *regionForwarders) set(s LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	for _, f := range l.byTarget {
		f.SetState(s)
	}
}

// bytes returns the number of bytes that all forwarders have forwarded.
func (l *regionForwarders) bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n int64
	for _, f := range l.byTarget {
		n += f.Bytes()
	}
	return n
}

func (l *regionForwarders) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.byTarget {
		f.Close()
	}
}
