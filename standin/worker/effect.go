package worker

import (
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/standin/internal/exchange"
	"github.com/tamarackstep/tamarackstep/standin/internal/stream"
)

// Effect is an action that the reducer asks to be executed. The set of types is
// closed.
type Effect interface{ isEffect() }

// Reply answers a request without a streamed body.
type Reply struct {
	Exchange  exchange.ID
	Answer    exchange.Answer
	Refused   bool // the call was not admitted: certainly not run
	SlotsUsed int  // slots in use
	Leaving   bool // the worker is leaving
}

// Admit runs a call: its goroutine streams the chunks over the hold time and then
// posts CallEnded.
type Admit struct {
	Exchange  exchange.ID
	Plan      stream.Plan
	Hold      time.Duration // from admission to the last chunk
	SlotsUsed int           // slots in use, this call included
	Leaving   bool
	Lose      bool // run the call, then close the connection without an answer
	Delay     time.Duration
}

// AbortCall breaks off the answer of an admitted call whose replica has stopped.
type AbortCall struct{ Exchange exchange.ID }

// AppendJournal appends an entry to the journal. The entry is written before any
// later effect of the same step is executed.
type AppendJournal struct{ Entry wire.JournalEntry }

// WriteObject stores a checkpoint. Its outcome is ObjectWritten.
type WriteObject struct {
	Name string
	Body []byte
}

// ReadObject reads a checkpoint. Its outcome is ObjectRead.
type ReadObject struct{ Name string }

// Register adds this worker to the platform's host list, or updates its entry.
// Its outcome is Registered.
type Register struct{ Host wire.Host }

func (Reply) isEffect()         {}
func (Admit) isEffect()         {}
func (AbortCall) isEffect()     {}
func (AppendJournal) isEffect() {}
func (WriteObject) isEffect()   {}
func (ReadObject) isEffect()    {}
func (Register) isEffect()      {}
