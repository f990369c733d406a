package settings

import "time"

// field describes one key of the file.
type field struct {
	key      string // dotted
	required bool
	set      func(s *Settings, value any) error // checks and stores the value; values.go has one for each type
}

// fields lists all keys that a file may have.
var fields = []field{
	{"partitions", false, integer(1, 4096, func(s *Settings) *int { return &s.Partitions })},

	{"host.name", true, identifier(func(s *Settings, v string) { s.Host = hostID(v) })},
	{"host.region", true, identifier(func(s *Settings, v string) { s.Region = v })},
	{"host.availability_zone", true, identifier(func(s *Settings, v string) { s.Zone = v })},

	{"listeners.callers", true, listenAddress(func(s *Settings) *string { return &s.CallerListener })},
	{"listeners.operators", true, listenAddress(func(s *Settings) *string { return &s.OperatorListener })},
	{"listeners.peers", true, dialAddress(func(s *Settings) *string { return &s.PeerListener })},

	{"peers.seeds", false, dialAddresses(func(s *Settings) *[]string { return &s.PeerSeeds })},
	{"peers.token", false, token(func(s *Settings) *string { return &s.PeerToken })},
	{"operators.token", false, token(func(s *Settings) *string { return &s.OperatorToken })},
	{"platform.address", true, dialAddress(func(s *Settings) *string { return &s.PlatformAddress })},

	{"limits.event_queue", false, integer(64, 1<<20, func(s *Settings) *int { return &s.Limits.EventQueue })},
	{"limits.calls", false, integer(1, 1<<20, func(s *Settings) *int { return &s.Limits.Calls })},
	{"limits.caller_connections", false, integer(1, 1<<20, func(s *Settings) *int { return &s.Limits.CallerConnections })},
	{"limits.target_connections", false, integer(1, 4096, func(s *Settings) *int { return &s.Limits.TargetConnections })},
	{"limits.platform_requests", false, integer(1, 4096, func(s *Settings) *int { return &s.Limits.PlatformRequests })},
	{"limits.worker_requests", false, integer(1, 4096, func(s *Settings) *int { return &s.Limits.WorkerRequests })},
	{"limits.peer_messages", false, integer(1, 4096, func(s *Settings) *int { return &s.Limits.PeerMessages })},
	{"limits.waiting_requests", false, integer(1, 1<<20, func(s *Settings) *int { return &s.Limits.WaitingRequests })},
	{"limits.header_bytes", false, byteSize(func(s *Settings) *int64 { return &s.Limits.HeaderBytes })},
	{"limits.held_body", false, byteSize(func(s *Settings) *int64 { return &s.Limits.HeldBody })},
	{"limits.max_body", false, byteSize(func(s *Settings) *int64 { return &s.Limits.MaxBody })},
	{"limits.sheet_bytes", false, byteSize(func(s *Settings) *int64 { return &s.Limits.SheetBytes })},
	{"limits.header_timeout", false, duration(func(s *Settings) *time.Duration { return &s.Limits.HeaderTimeout })},
	{"limits.body_timeout", false, duration(func(s *Settings) *time.Duration { return &s.Limits.BodyTimeout })},
	{"limits.idle_timeout", false, duration(func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout })},
	{"limits.write_stall", false, duration(func(s *Settings) *time.Duration { return &s.Limits.WriteStall })},
	{"limits.answer_stall", false, duration(func(s *Settings) *time.Duration { return &s.Limits.AnswerStall })},
	{"limits.dial_timeout", false, duration(func(s *Settings) *time.Duration { return &s.Limits.DialTimeout })},
	{"limits.leave_delay", false, duration(func(s *Settings) *time.Duration { return &s.Limits.LeaveDelay })},

	{"process.gc_percent", false, integer(10, 1000, func(s *Settings) *int { return &s.Process.GCPercent })},
	{"process.processors", false, integer(0, 1024, func(s *Settings) *int { return &s.Process.Processors })},

	{"log.level", false, logLevel},
	{"log.queue", false, integer(1, 1<<20, func(s *Settings) *int { return &s.LogQueue })},
}
