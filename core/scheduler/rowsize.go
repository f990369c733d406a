package scheduler

import (
	"strconv"

	"github.com/tamarackstep/tamarackstep/core/admission"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// The store refuses a transaction with a row that is over its limit, and everything else
// in it. So every row that grows with jobs, workers or entries of other programs is kept
// within the limit where it is made. The sizes here are upper bounds of the encoded rows,
// so that the reducer need not encode them.

// defaultRowLimit applies where the deployment does not state the limit, in bytes.
const defaultRowLimit = 64 << 10

// rowLimit returns the size that a row may have, in bytes.
func (b Bounds) rowLimit() int {
	if b.MaxRowBytes > 0 {
		return b.MaxRowBytes
	}
	return defaultRowLimit
}

// Upper bounds of the encoded sizes of parts of rows, in bytes.
const (
	smallRowBytes     = 1024 // rows that do not grow
	numberBytes       = 21   // any integer or float, with its separator
	escapedByte       = 6    // a byte of a text that is encoded as an escape sequence
	progressFrame     = 256  // progress besides its lists
	taskEntryFrame    = 12   // key of a task, with punctuation
	runBytes          = 12   // number of a run, with its separator
	partFrame         = 96   // part of a job besides its key and lists
	taskNumberBytes   = 7
	shardNumberBytes  = 4
	jobFrame          = 640 // job with its policy and repetition, besides its texts and steps
	loadFrame         = 512
	serviceLoadBytes  = 128 + (2*len(slotSizes)+3)*numberBytes
	backlogClassBytes = 64 + (5+admission.Sizes)*numberBytes
	pressureFrame     = 64 + 2*numberBytes
	textFrame         = 4 // quotes, colon and comma
	rackEntryFrame    = textFrame + shardNumberBytes
	workerEntryFrame  = 3 * textFrame
	queueLengthsFrame = textFrame + numberBytes
)

// textBytes returns an upper bound of the encoded size of a text without its quotes.
func textBytes(s string) int {
	n := 0
	for _, c := range []byte(s) {
		switch {
		case c == '"' || c == '\\':
			n += 2
		case c < ' ' || c >= 0x7f || c == '<' || c == '>' || c == '&':
			n += escapedByte
		default:
			n++
		}
	}
	return n
}

// rowBytes returns an upper bound of the encoded size of a row.
func rowBytes(v RowValue) int {
	switch v := v.(type) {
	case nil:
		return 0
	case JobRow:
		return jobBytes(&v.Job)
	case ProgressRow:
		return progressBytes(&v.Progress)
	case ProgressGroupRow:
		return progressBytes(&structs.Progress{Failures: v.Failures, Checkpoints: v.Checkpoints})
	case UsedWorkersRow:
		return v.bytes()
	case PressuresRow:
		return v.bytes()
	case ShardPlanRow:
		return v.bytes()
	case ShardLoadRow:
		return v.bytes()
	}
	return smallRowBytes
}

func jobBytes(j *structs.Job) int {
	n := jobFrame + textBytes(string(j.ID)) + textBytes(j.Queue) + textBytes(j.Policy.Service) + textBytes(j.Spec) + shardNumberBytes*len(j.MovedFrom)
	for i := range j.Steps {
		n += stepBytes(&j.Steps[i])
	}
	if j.Part != nil {
		n += partBytes(j.Part)
	}
	if j.Moved != nil {
		n += progressBytes(&j.Moved.Progress)
	}
	return n
}

// stepBytes counts only the fields that a step has, so that a job of many small steps
// is not taken for a large one.
func stepBytes(s *structs.Step) int {
	const frame = len(`{"count":,"request":{"milli_cores":,"memory_mb":,"accelerators":}},`)
	n := frame + intBytes(int64(s.Count)) + intBytes(s.Request.MilliCores) + intBytes(s.Request.MemoryMB) + intBytes(s.Request.Accelerators)
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"estimate", int64(s.Estimate)}, {"per_worker", int64(s.PerWorker)}, {"tail_target", int64(s.TailTarget)}, {"may_miss", int64(s.MaxUnavailable)},
	} {
		if f.value != 0 {
			n += len(f.name) + textFrame + intBytes(f.value)
		}
	}
	for _, f := range []struct {
		name string
		set  bool
	}{
		{"gang", s.Gang}, {"same_rack", s.SameRack}, {"speculative", s.Speculative}, {"saves_progress", s.SavesProgress}, {"persistent", s.Persistent}, {"fills", s.BestEffort},
	} {
		if f.set {
			n += len(f.name) + textFrame + len("true")
		}
	}
	for _, f := range []struct{ name, text string }{{"label", s.Label}, {"data_rack", s.DataRack}, {"image", s.Image}} {
		if f.text != "" {
			n += len(f.name) + 2*textFrame + textBytes(f.text)
		}
	}
	if len(s.After) > 0 {
		n += len("after") + 2*textFrame
		for _, a := range s.After {
			n += intBytes(int64(a)) + 1
		}
	}
	return n
}

func intBytes(n int64) int { return len(strconv.FormatInt(n, 10)) }

func partBytes(p *structs.JobPart) int {
	return partFrame + len(p.Key) + taskNumberBytes*len(p.Tasks) + shardNumberBytes*len(p.From)
}

func progressBytes(p *structs.Progress) int {
	const base64Group, bytesPerGroup = 4, 3
	n := progressFrame + (len(p.Done)/bytesPerGroup+1)*base64Group
	for _, runs := range p.Failures {
		n += taskEntryFrame + runBytes*len(runs)
	}
	for _, c := range p.Checkpoints {
		n += taskEntryFrame + textBytes(c)
	}
	for i := range p.Given {
		n += partBytes(&p.Given[i])
	}
	return n
}

func (u UsedWorkersRow) bytes() int {
	n := smallRowBytes
	for id, address := range u.Workers {
		n += usedWorkerBytes(id, address)
	}
	return n
}

// usedWorkerBytes includes the ends of runs and leases that the row holds for some workers.
func usedWorkerBytes(id structs.WorkerID, address string) int {
	return workerEntryFrame + 3*textBytes(string(id)) + textBytes(address) + 2*numberBytes
}

func (p PressuresRow) bytes() int {
	n := smallRowBytes
	for _, b := range p.Bases {
		n += b.bytes()
	}
	for _, e := range p.Pairs {
		n += e.bytes()
	}
	return n
}

func (b BaseTailEntry) bytes() int { return pressureFrame + textBytes(b.Image) }

func (e PressureEntry) bytes() int {
	return pressureFrame + textBytes(e.Serving) + textBytes(e.BestEffort)
}

func (p ShardPlanRow) bytes() int {
	n := smallRowBytes
	for rack := range p.Racks {
		n += rackBytes(rack)
	}
	return n
}

func rackBytes(rack string) int { return rackEntryFrame + textBytes(rack) }

func (r ShardLoadRow) bytes() int {
	n := loadFrame + textBytes(r.Host)
	for queue := range r.QueueLengths {
		n += queueLengthsFrame + textBytes(queue)
	}
	for service, load := range r.Services {
		n += serviceLoadBytes + textBytes(service) + backlogClassBytes*len(load.Backlog)
	}
	for zone := range r.Evacuating {
		n += queueLengthsFrame + textBytes(zone)
	}
	for _, label := range r.Labels {
		n += textFrame + textBytes(label)
	}
	return n
}
