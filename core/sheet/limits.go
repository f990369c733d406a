package sheet

// Limits of a sheet. Each is several times what the two-year design scale needs, so
// that a larger value is a typing error.
const (
	MaxBytes     = 8 << 20 // size of a sheet's file, bytes
	MaxRows      = 20_000  // rows that are not empty
	MaxTasks     = 200_000 // replicas and tasks of all rows; each has a row in the store and in its owner's memory
	MaxNameBytes = 100     // length of a name, bytes; names become part of URL paths and row keys
	MaxTextBytes = 4096    // length of a command, bytes
	MaxFaults    = 10_000  // faults reported for one sheet; limits the memory that a broken file can take
	maxFields    = 256     // fields of one line, without empty ones at its end

	maxCount           = 50_000            // replicas or tasks of one row
	maxMilliCores      = 1024 * 1000       // of one replica or task
	maxMemoryMB        = 16 * 1000 * 1000  // 16 TB, of one replica or task
	maxAccelerators    = 64                // of one replica or task
	maxTeamFactor      = 500               // factor by which a team's quota may exceed the limits of one task
	maxRunTimeMS       = 400 * 24 * hourMS // a little over a year
	maxLatencyTargetMS = 10 * minuteMS
	minDeadlineUnixMS  = 946_684_800_000   // 2000-01-01
	maxDeadlineUnixMS  = 7_258_118_400_000 // 2200-01-01
)

// Units of time in milliseconds.
const (
	secondMS = 1000
	minuteMS = 60 * secondMS
	hourMS   = 60 * minuteMS
	dayMS    = 24 * hourMS
)
