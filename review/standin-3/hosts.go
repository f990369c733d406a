package main

import (
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var quietLog = log.New(io.Discard, "", 0)

// host is one machine of the system: a process of the deploy file's role.
type host struct {
	name, front, ready, settings, program, folder string
	zone                                          string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan error
	up      bool
	ends    int // how often the process ended by itself
	lastEnd string
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newHost(n int, program, folder, storeAddress, adviceAddress string) *host {
	ip := fmt.Sprintf("127.0.3.%d", n+1)
	h := &host{name: fmt.Sprintf("front-%d", n+1), front: freePort(ip), ready: freePort(ip), program: program, folder: folder, zone: fmt.Sprintf("z%d", n%3)}
	h.settings = filepath.Join(folder, h.name+".toml")
	text := fmt.Sprintf(`NodeName = %q
Role = "scheduler"
MachineClass = "front"
Serves = ["front"]
Ip = %q
Zone = %q
Region = "r"
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
ControlMode = "call"
Advice = %q
[ListenAddrs]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckTimeoutMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
RecoveryS = 12
MaxHoldMs = 10000
StopTimeoutMs = 400
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
Address = %q
form = "table"
WritesPerS = 600
ReadsPerS = 2000
TxMs = 8.0
PartWritesS = 150
RowBytes = 65536
HistoryS = 20
`, h.name, ip, h.zone, adviceAddress, h.front, h.ready, storeAddress)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return h
}

// start starts the process and starts it again when it ends by itself.
func (h *host) start(w *world) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer out.Close()
	cmd := exec.Command(h.program, "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARACKSTEP_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	h.cmd, h.up, h.done = cmd, true, make(chan error, 1)
	w.log("host %s started", h.name)
	done := h.done
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		byItself := h.up && h.cmd == cmd
		if byItself {
			h.up = false
			h.ends++
			h.lastEnd = fmt.Sprint(err)
		}
		h.mu.Unlock()
		done <- err
		if byItself {
			w.log("host %s ended by itself: %v", h.name, err)
			time.AfterFunc(500*time.Millisecond, func() {
				if !closing.Load() {
					h.start(w)
				}
			})
		}
	}()
}

// signal sends a signal to the process.
func (h *host) signal(w *world, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.up {
		w.log("host %s gets %v", h.name, s)
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for it.
func (h *host) kill(w *world) {
	h.mu.Lock()
	if h.cmd == nil || !h.up {
		h.mu.Unlock()
		return
	}
	h.up = false
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	w.log("host %s is killed", h.name)
	_ = cmd.Process.Kill()
	<-done
}

// lastLines returns the last lines of the log of the host that contain a word.
func (h *host) lines(word string) []string {
	data, _ := os.ReadFile(filepath.Join(h.folder, h.name+".log"))
	var found []string
	for _, l := range strings.Split(string(data), "\n") {
		if strings.Contains(l, word) {
			found = append(found, l)
		}
	}
	return found
}
