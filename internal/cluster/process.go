package cluster

import (
	"os"
	"os/exec"
	"syscall"

	"github.com/go-faster/errors"
)

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // result of cmd.Wait; valid once done is closed
}

// startProcess starts a program and appends its output and error output to logFile.
func startProcess(path, logFile string, args ...string) (*process, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return nil, errors.Wrap(err, "start "+path)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	return p, nil
}

// signal sends s to the process unless it has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill sends SIGKILL to the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Kill ends the process of a node with SIGKILL and waits for its end.
func (n *Node) Kill() { n.proc.kill() }

// Pause suspends the process of a node (SIGSTOP) until Resume.
func (n *Node) Pause() { n.proc.signal(syscall.SIGSTOP) }

// Resume continues a paused process (SIGCONT).
func (n *Node) Resume() { n.proc.signal(syscall.SIGCONT) }

// Stop asks the process of a node to stop in an orderly way (SIGTERM), waits for its end
// and returns an error if it did not exit with status 0.
func (n *Node) Stop() error {
	n.proc.signal(syscall.SIGTERM)
	<-n.proc.done
	return n.proc.err
}

// Running reports whether the process of a node has not ended.
func (n *Node) Running() bool {
	select {
	case <-n.proc.done:
		return false
	default:
		return true
	}
}
