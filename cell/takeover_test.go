package cell

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/sched"
)

// versionDecoder decodes a configuration that consists of its version. It has one queue, which is named
// after the version.
type versionDecoder struct{}

func (versionDecoder) Config(value []byte) (*Config, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	queue := sched.Queue{Name: "q" + string(value), Service: "s", MaxAttempts: 1}
	return &Config{Version: version, Routes: []Route{{Queue: queue}}}, err
}

func (versionDecoder) Machine(id string, _ []byte) (sched.Machine, error) {
	return sched.Machine{ID: id}, nil
}

// hookWriter is a log writer that drops all lines, and calls a function before it returns from the first one
// with an event.
type hookWriter struct {
	event string
	call  func()
	once  sync.Once
}

func (w *hookWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"event":"`+w.event+`"`)) {
		w.once.Do(w.call)
	}
	return len(line), nil
}

// TestConfigurationDuringTakeover guards against a new leader that plans by a configuration that was replaced
// while it restored the job state, for as long as it leads: the daemon had the new one in force, and the
// engine kept the old one.
func TestConfigurationDuringTakeover(t *testing.T) {
	for name, event := range map[string]string{"while the state is restored": "state_restored", "while leading": "leading"} {
		t.Run(name, func(t *testing.T) {
			hook := &hookWriter{event: event}
			d := New(Settings{Name: "a", IP: "127.0.0.1", Log: newMemoryLog(), Machines: &lossyMachines{}, Decoder: versionDecoder{},
				ConfigKey: "config", MaxAppendBytes: maxAppendBytes, Logger: zerolog.New(hook)})
			configure := func(version string) { d.applyConfig(Entry{Key: "config", Value: []byte(version)}) }
			configured := make(chan struct{})
			hook.call = func() { configure("2"); close(configured) }
			configure("1")
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { d.runLeadership(ctx, 1); close(done) }()
			defer func() { cancel(); <-done }()
			select {
			case <-configured:
			case <-time.After(5 * time.Second):
				t.Fatal("the configuration was not changed within 5 s")
			}
			eventually(t, "the daemon leads", 5*time.Second, func() bool { return d.leadership.Load() != nil })
			job := sched.Job{ID: "0000000000000001", Queue: "q2", Steps: []sched.Step{{Count: 1, Need: machine.Resources{CPUMilli: 1}}}}
			l := d.leadership.Load()
			eventually(t, "a job for a queue of the second configuration is accepted", time.Second, func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				return l.engine.Submit(job, l.clock(), time.Now(), func(error) {}) == nil
			})
		})
	}
}
