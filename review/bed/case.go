package bed

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit is how long a case may take.
const limit = 115 * time.Second

// Run runs a case and ends the process with its exit code. The case gets the record and whether there shall be trouble.
// It returns how the rule was broken, empty if it held, and an error if the case could not run.
func Run(folder string, play func(record *Record, trouble bool) (string, error)) {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(notRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		endProcesses()
		finish(record, "", fmt.Errorf("ended after %.0f s", record.Now().Seconds()))
	}()
	fault, err := play(record, os.Getenv("TROUBLE") != "0")
	endProcesses()
	finish(record, fault, err)
}

// ending is held by the call of finish that ends the process.
var ending sync.Mutex

// finish writes the result and ends the process.
func finish(record *Record, fault string, err error) {
	ending.Lock() // until the end
	code := held
	switch {
	case err != nil:
		record.Note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		code = notRun
	case fault != "":
		record.Note("BROKEN: %s", fault)
		fmt.Println("broken:", fault)
		code = broken
	default:
		record.Note("the rule held")
		fmt.Println("held")
	}
	if err := record.Close(); err != nil {
		fmt.Println(err)
		code = notRun
	}
	os.Exit(code)
}

// processes are the processes that the case has started and that have not ended.
var processes = struct {
	mu    sync.Mutex
	all   map[*os.Process]bool
	ended bool // no further ones are started
}{all: map[*os.Process]bool{}}

// endProcesses kills all processes that the case has started.
func endProcesses() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	processes.ended = true
	for p := range processes.all {
		_ = p.Kill()
	}
}
