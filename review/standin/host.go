package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one process of the system, started with the command of the deploy file.
type host struct {
	name, front, settings string
	rec                   *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	wanted bool // the platform restarts it when it ends
	ledAt  time.Time
	part   []byte // incomplete line of its log
	log    *os.File
}

// hostSize is the share of a core and the network link of a host.
type hostSize struct{ cpu, mbps float64 }

// smallHost is the size of the hosts of a small deployment.
var smallHost = hostSize{cpu: 0.4, mbps: 1000}

func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newHost(n int, folder, storeAddress string, size hostSize, rec *record) (*host, error) {
	h := &host{name: fmt.Sprintf("front-smolyan-%d", n+1), rec: rec}
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	h.front = addresses[0]
	h.settings = filepath.Join(folder, h.name+".toml")
	text := fmt.Sprintf(`NodeName = %q
Role = "scheduler"
MachineClass = "front"
Serves = ["front"]
Ip = "127.0.0.1"
Zone = "smolyan"
Region = "rodopi"
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","sharing"]
ControlMode = "call"
[ListenAddrs]
Front = %q
Ready = %q
Control = %q
[Limits]
CpuShare = %v
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = %v
[Bounds]
ContactMs = 3000
AckTimeoutMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
RecoveryS = 12
MaxHoldMs = %d
StopTimeoutMs = 400
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
Address = %q
form = "table"
WritesPerS = 600
ReadsPerS = 2000
TxMs = 8.0
RowBytes = %d
CrossRegion = false
HistoryS = 20
`, h.name, addresses[0], addresses[1], addresses[2], size.cpu, size.mbps, maxHoldMS, storeAddress, rowBytes)
	if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	var err error
	h.log, err = os.Create(filepath.Join(folder, h.name+".log"))
	return h, err
}

// Write receives the log of the process. It watches for the line of a takeover.
func (h *host) Write(data []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = h.log.Write(data)
	h.part = append(h.part, data...)
	for {
		at := bytes.IndexByte(h.part, '\n')
		if at < 0 {
			return len(data), nil
		}
		line := string(h.part[:at])
		h.part = h.part[at+1:]
		if strings.Contains(line, "leader: ") {
			h.rec.line("%s log: %s", h.name, line)
		}
		if strings.Contains(line, "took the lead") {
			h.ledAt = time.Now()
		}
	}
}

// start starts the process and restarts it, after a short delay, when it ends.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted = true
	return h.startLocked()
}

func (h *host) startLocked() error {
	cmd := exec.Command("target/tamarackstep", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARACKSTEP_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = h, h
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.exited = cmd, make(chan struct{})
	h.rec.line("%s: started, process %d", h.name, cmd.Process.Pid)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		h.rec.line("%s: process %d ended: %v", h.name, cmd.Process.Pid, err)
		close(exited)
		time.Sleep(time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.wanted && h.exited == exited {
			_ = h.startLocked()
		}
	}(h.exited)
	return nil
}

// kill ends the process with SIGKILL. With restart, the platform starts it again.
func (h *host) kill(restart bool) {
	h.mu.Lock()
	h.wanted = restart
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	h.rec.line("%s: SIGKILL", h.name)
	_ = cmd.Process.Kill()
	<-exited
}

// stop ends the process as planned, with SIGTERM. The platform starts it again.
func (h *host) stop() {
	h.mu.Lock()
	cmd := h.cmd
	h.mu.Unlock()
	h.rec.line("%s: SIGTERM", h.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
}

func (h *host) lastLed() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledAt
}
