// Package settings reads and checks the TOML settings file of an entry host. All
// errors in a file are reported at once, each with file, line and key. The package
// has no state and applies no setting itself.
package settings

import (
	"log/slog"
	"time"

	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Settings holds the settings of one entry host. All addresses are IP:port.
type Settings struct {
	Partitions int // identical on all hosts of a deployment

	Host             structs.HostID // stable across restarts
	Region           string
	Zone             string
	CallerListener   string
	OperatorListener string
	PeerListener     string // announced to the other entry hosts

	PeerSeeds       []string // peer listeners of other entry hosts
	PeerToken       string   // empty: peers need no token
	OperatorToken   string   // empty: operators need no token
	PlatformAddress string

	Limits   Limits
	Process  Process
	LogLevel slog.Level
	LogQueue int // lines
}

// Process holds the settings of the Go runtime.
type Process struct {
	GCPercent  int // as GOGC: heap growth between collections, in percent of the live heap
	Processors int // as GOMAXPROCS: threads that run Go code at once; 0: all available processors
}

// Limits bounds the resources that one entry host uses.
type Limits struct {
	EventQueue        int // events; new calls use at most three quarters of the queue
	Calls             int // calls in progress
	CallerConnections int
	TargetConnections int // for calls, to one worker
	PlatformRequests  int // requests in progress
	WorkerRequests    int // requests in progress
	PeerMessages      int // messages being sent
	WaitingRequests   int // queued requests of each of the three kinds above

	HeaderBytes int64
	HeldBody    int64 // bytes; bodies up to this size are held in memory for retries
	MaxBody     int64 // bytes
	SheetBytes  int64 // maximum body of an operator's request

	HeaderTimeout time.Duration // to read the headers of a call
	BodyTimeout   time.Duration // to read a held body as a whole, or for each read of a streamed one
	IdleTimeout   time.Duration // of a caller's connection
	WriteStall    time.Duration // a caller that accepts no byte for this long is disconnected
	AnswerStall   time.Duration // a target that stops sending for this long within an answer is disconnected
	DialTimeout   time.Duration
	LeaveDelay    time.Duration // a planned stop keeps the caller listener open at least this long
}

// Default returns the defaults of the optional settings.
func Default() Settings {
	return Settings{
		Partitions: 6, LogLevel: slog.LevelInfo, LogQueue: 8192,
		// An idle host has a live heap of about 4 MB, so collecting twice as often as
		// by the runtime's default costs little. With more processors than it has work
		// for, the runtime wakes threads that find nothing to do.
		Process: Process{GCPercent: 50, Processors: 4},
		Limits: Limits{
			EventQueue: 65536, Calls: 4096, CallerConnections: 8192, TargetConnections: 64,
			PlatformRequests: 64, WorkerRequests: 256, PeerMessages: 64, WaitingRequests: 4096,
			HeaderBytes: 32 << 10, HeldBody: 64 << 10, MaxBody: 256 << 20, SheetBytes: 16 << 20,
			HeaderTimeout: 5 * time.Second, BodyTimeout: 15 * time.Second, IdleTimeout: 2 * time.Minute,
			WriteStall: 30 * time.Second, AnswerStall: time.Minute, DialTimeout: time.Second,
			// Longer than a load balancer needs to see /readyz fail, so that it stops
			// sending calls before the listener closes.
			LeaveDelay: 3 * time.Second,
		},
	}
}
