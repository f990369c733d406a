package structs

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// Guards against a row that is encoded larger than RowBytes says, and so is refused by
// the store together with everything else in its transaction.
func TestRowBytesIsUpperBound(t *testing.T) {
	text := strings.Repeat("\x01<\"é\u2028\xff", 40)
	id, most := TaskID(text), Resources{math.MinInt64, math.MinInt64, math.MinInt64}
	for _, row := range []Row{
		PartitionRow{Owner: HostID(text), Epoch: math.MaxUint64, Sequence: math.MaxUint64},
		TaskRow{
			Task: id, Row: text, Index: math.MinInt, Kind: KindService, Request: most, Generation: math.MaxUint64, SpecHash: math.MaxUint64,
			Phase: TaskEvicting, Worker: WorkerID(text), Run: math.MaxUint64, Checkpoint: text, Evictions: math.MinInt,
			FailedOn: []WorkerID{WorkerID(text), WorkerID(text)}, Reason: text, Transfers: math.MinInt, MovedTo: math.MinInt,
		},
		WorkerRow{Worker: WorkerID(text[:MaxWorkerIDBytes-2]), Commitments: []Commitment{{id, math.MaxUint64, most}, {id, math.MaxUint64, most}}},
		ClaimRow{
			Service: text, Key: text, Host: HostID(text), Instance: InstanceID(text), Attempt: math.MaxUint64, State: ClaimReleased,
			Status: math.MinInt, ContentType: text, Body: []byte(text), BodyOmitted: true,
		},
		ConfigHead{Generation: math.MaxUint64, Object: text, Author: text, Attempt: math.MaxUint64},
		EntryHostRow{Host: "h", Instance: "i", Address: "a", Zone: "z"},
	} {
		encoded, err := json.Marshal(row)
		if bound := RowBytes(row); err != nil || len(encoded) > bound || bound > 2*len(encoded)+2*smallRowBytes {
			t.Errorf("%T: %d bytes encoded, bound %d, %v", row, len(encoded), bound, err)
		}
	}
	c := Configuration{Generation: math.MaxUint64, Author: text, Stopped: []string{text}, Rows: []SheetRow{{
		Name: text, Kind: KindService, Team: text, Command: text, Importance: ImportanceUrgent, Count: 50_000, Request: most,
		DeadlineUnixMS: 7_258_118_400_000, RunTimeMS: 34_560_000_000, LatencyTargetMS: 600_000, Idempotent: true,
	}}}
	if encoded, err := json.Marshal(c); err != nil || len(encoded) > c.Bytes() {
		t.Errorf("configuration: %d bytes encoded, bound %d, %v", len(encoded), c.Bytes(), err)
	}
}

// Guards against a key that the store refuses, and against two orders that share a claim.
func TestClaimKeysFitAndDiffer(t *testing.T) {
	service, long := strings.Repeat("s", 100), strings.Repeat("k", 255)
	hashed := string(ClaimKey(service, long))
	imitation := strings.TrimPrefix(hashed, ClaimPrefix+service+"/")
	seen := map[RowKey]string{}
	for _, key := range []string{"k", "~", long, long[1:] + "x", imitation, strings.Repeat("k", 92), strings.Repeat("k", 93)} {
		k := ClaimKey(service, key)
		if other, ok := seen[k]; ok || len(k) > MaxKeyBytes {
			t.Errorf("%q has the key %q of %d bytes, also that of %q", key, k, len(k), other)
		}
		seen[k] = key
	}
	if ClaimKey("portal", "order-1") != "claims/portal/order-1" {
		t.Error("the key of a short claim has changed")
	}
}
