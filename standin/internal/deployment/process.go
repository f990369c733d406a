package deployment

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/standin/internal/audit"
)

// Process is a child process in a process group of its own, so that a signal
// to the parent's group does not reach it. Its log is a file.
type Process struct {
	Name    string
	LogPath string
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	err     error         // result of Wait; valid after done is closed

	mu       sync.Mutex
	lines    chan string // of standard output; closed at its end
	killedAt time.Time
	frozen   []audit.Span
}

const maxLines = 1 << 16 // unread lines of standard output; further ones are dropped

// Start starts a program. Standard error goes to <folder>/<name>.log, and NextLine
// returns the lines of standard output.
func Start(name, program, folder string, args ...string) (*Process, error) {
	return start(name, folder, exec.Command(program, args...), false)
}

// StartLogged starts a program with additional environment variables (NAME=value).
// Standard output and standard error go to <folder>/<name>.log.
func StartLogged(name, program, folder string, environment []string, args ...string) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), environment...)
	return start(name, folder, cmd, true)
}

func start(name, folder string, cmd *exec.Cmd, logged bool) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, oops.With("process", name).Wrapf(err, "open log")
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var output io.Reader = strings.NewReader("")
	if logged {
		cmd.Stdout = log
	} else if output, err = cmd.StdoutPipe(); err != nil {
		return nil, oops.With("process", name).Wrapf(err, "open output")
	}
	if err := cmd.Start(); err != nil {
		return nil, oops.With("process", name).Wrapf(err, "start")
	}
	p := &Process{Name: name, LogPath: log.Name(), cmd: cmd, done: make(chan struct{}), lines: make(chan string, maxLines)}
	go p.watch(output)
	return p, nil
}

// watch reads the output to its end and then reaps the process.
func (p *Process) watch(output io.Reader) {
	reader := bufio.NewReader(output)
	for {
		line, err := reader.ReadString('\n')
		if line != "" {
			select {
			case p.lines <- line:
			default: // maxLines are unread: drop the line
			}
		}
		if err != nil {
			break
		}
	}
	close(p.lines)
	p.err = p.cmd.Wait()
	close(p.done)
}

// NextLine returns the next line of standard output.
func (p *Process) NextLine(timeout time.Duration) (string, error) {
	select {
	case line, ok := <-p.lines:
		if !ok {
			return "", oops.With("process", p.Name).Errorf("the process closed its standard output; see %s", filepath.Base(p.LogPath))
		}
		return line, nil
	case <-time.After(timeout):
		return "", oops.With("process", p.Name).Errorf("no line on standard output within %v", timeout)
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// clockTicksPerSecond is the unit of processor times in /proc (USER_HZ on Linux).
const clockTicksPerSecond = 100

// CPUTime returns the processor time that the process has used so far.
func (p *Process) CPUTime() (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, oops.With("process", p.Name).Wrapf(err, "read processor time")
	}
	// After the program's name in parentheses, utime and stime are the 12th and
	// 13th fields.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, oops.With("process", p.Name).Errorf("stat has %d fields, need 13", len(fields))
	}
	var total time.Duration
	for _, text := range fields[11:13] {
		ticks, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, oops.With("process", p.Name).Wrapf(err, "parse processor time")
		}
		total += time.Duration(ticks) * time.Second / clockTicksPerSecond
	}
	return total, nil
}

// Alive reports whether the process is still running. A frozen process is alive.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits for the end of the process. It returns nil for exit status 0.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		if p.err != nil {
			return oops.With("process", p.Name).Wrapf(p.err, "process ended")
		}
		return nil
	case <-time.After(timeout):
		return oops.With("process", p.Name).Errorf("still running after %v", timeout)
	}
}

// SignalReload sends SIGHUP, on which a scheduler host validates its settings file
// again.
func (p *Process) SignalReload() error { return p.signal(syscall.SIGHUP) }

// Terminate sends SIGTERM, on which the process stops gracefully.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	p.mu.Lock()
	if p.killedAt.IsZero() && p.Alive() {
		p.killedAt = time.Now()
	}
	p.mu.Unlock()
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// KilledAt returns when Kill was first called on the running process, or zero if
// it was not.
func (p *Process) KilledAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killedAt
}

// Freeze sends SIGSTOP, so that the process does nothing until Thaw.
func (p *Process) Freeze() error {
	p.mu.Lock()
	p.frozen = append(p.frozen, audit.Span{Begin: time.Now()})
	p.mu.Unlock()
	return p.signal(syscall.SIGSTOP)
}

// Thaw sends SIGCONT, so that a frozen process continues.
func (p *Process) Thaw() error {
	err := p.signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.frozen); n > 0 {
		p.frozen[n-1].End = time.Now()
	}
	return err
}

// Frozen returns the periods for which the process was frozen.
func (p *Process) Frozen() []audit.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]audit.Span(nil), p.frozen...)
}

func (p *Process) signal(s syscall.Signal) error {
	if !p.Alive() {
		return oops.With("process", p.Name).Errorf("the process has ended")
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		return oops.With("process", p.Name).Wrapf(err, "send %v", s)
	}
	return nil
}
