package structs

import "unicode/utf8"

// Limits of the table service. It refuses a call that is over one of them, for good
// and as a whole.
const (
	MaxKeyBytes           = 200       // key of a row
	MaxRowBytes           = 64 << 10  // value of a row
	MaxTransactionEntries = 100       // conditions and writes of one transaction
	MaxTransactionBytes   = 1_000_000 // one transaction
	MaxPageRows           = 500       // rows in one answer
	MaxPageBytes          = 1_000_000 // one answer
)

// MaxWorkerIDBytes bounds the ID of a worker, which is part of keys and rows.
const MaxWorkerIDBytes = 128

// Upper bounds of the encoded sizes of parts of rows, in bytes. A row type whose size
// depends only on short names is counted as smallRowBytes.
const (
	smallRowBytes   = 2048
	taskFrame       = 640 // field names and numbers of a TaskRow
	commitmentFrame = len(`{"task":"","run":,"request":{"milli_cores":,"memory_mb":,"accelerators":}},`)
	claimFrame      = 384 // field names and numbers of a ClaimRow
	sheetRowFrame   = 352 // field names and numbers of a SheetRow
	textFrame       = 3   // quotes and separator of a list's entry
	escapedByte     = 6   // a character that is encoded as an escape sequence
	base64Group     = 4   // encoded bytes of each bytesPerGroup bytes of binary data
	bytesPerGroup   = 3
)

// RowBytes returns an upper bound of the encoded size of a row, so that rows are kept
// within MaxRowBytes without being encoded.
func RowBytes(row Row) int {
	switch r := row.(type) {
	case nil:
		return 0
	case TaskRow:
		return r.bytes()
	case WorkerRow:
		n := WorkerRowFrame
		for i := range r.Commitments {
			n += r.Commitments[i].Bytes()
		}
		return n
	case ClaimRow:
		return claimFrame + TextBytes(r.Service) + TextBytes(r.Key) + TextBytes(string(r.Host)) +
			TextBytes(string(r.Instance)) + TextBytes(r.ContentType) + (len(r.Body)/bytesPerGroup+1)*base64Group
	case ConfigHead:
		return smallRowBytes + TextBytes(r.Object) + TextBytes(r.Author)
	}
	return smallRowBytes
}

func (r *TaskRow) bytes() int {
	n := taskFrame + TextBytes(string(r.Task)) + TextBytes(r.Row) + TextBytes(string(r.Worker)) +
		TextBytes(r.Checkpoint) + TextBytes(r.Reason)
	for _, w := range r.FailedOn {
		n += textFrame + TextBytes(string(w))
	}
	return n
}

// WorkerRowFrame bounds the encoded size of a WorkerRow without its commitments, for a
// worker whose ID has at most MaxWorkerIDBytes.
const WorkerRowFrame = 64 + MaxWorkerIDBytes*escapedByte

// Bytes returns an upper bound of the encoded size of a commitment in its worker's row.
func (c *Commitment) Bytes() int {
	return commitmentFrame + TextBytes(string(c.Task)) + decimalBytes(uint64(c.Run)) + intBytes(c.Request.MilliCores) +
		intBytes(c.Request.MemoryMB) + intBytes(c.Request.Accelerators)
}

func intBytes(n int64) int {
	if n < 0 {
		return decimalBytes(-uint64(n)) + 1
	}
	return decimalBytes(uint64(n))
}

func decimalBytes(n uint64) int {
	digits := 1
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}

// TextBytes returns an upper bound of the encoded size of a text without its quotes.
func TextBytes(s string) int {
	n := 0
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			n += 2
		case r < ' ' || r == 0x7f || r == '<' || r == '>' || r == '&' || r == utf8.RuneError || r == '\u2028' || r == '\u2029':
			n += escapedByte
		default:
			n += utf8.RuneLen(r)
		}
	}
	return n
}

// Bytes returns an upper bound of the encoded size of a configuration.
func (c *Configuration) Bytes() int {
	n := smallRowBytes + TextBytes(c.Author)
	for i := range c.Rows {
		n += c.Rows[i].bytes()
	}
	for _, name := range c.Stopped {
		n += textFrame + TextBytes(name)
	}
	return n
}

func (r *SheetRow) bytes() int {
	return sheetRowFrame + TextBytes(r.Name) + TextBytes(r.Team) + TextBytes(r.Command)
}
