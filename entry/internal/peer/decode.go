package peer

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	pb "github.com/tamarackstep/tamarackstep/api/tamarackstepv1"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Bounds of the numbers in messages. A message that exceeds one is refused as a
// whole, so that no number overflows or is out of range as an index in the reducer.
const (
	maxPartitions = 4096
	maxCount      = 1 << 20 // slots, pending tasks, replicas of one row
)

var (
	errNoHost         = errors.New("the message lacks a host or an instance")
	errUnknownMessage = errors.New("the envelope has no message or one of an unknown type")
)

// Decode returns the sender and the message of an envelope.
func Decode(e *pb.Envelope) (structs.HostID, control.Message, error) {
	if e.GetFromHost() == "" {
		return "", nil, errNoHost
	}
	m, err := decodeMessage(e)
	if err != nil {
		return "", nil, err
	}
	return structs.HostID(e.GetFromHost()), m, nil
}

func decodeMessage(e *pb.Envelope) (control.Message, error) {
	switch b := e.GetMessage().(type) {
	case *pb.Envelope_Heartbeat:
		return decodeHeartbeat(b.Heartbeat)
	case *pb.Envelope_Endpoints:
		return decodeEndpoints(b.Endpoints)
	case *pb.Envelope_EndpointsRequest:
		p, err := decodePartition(b.EndpointsRequest.GetPartition())
		return control.EndpointsRequest{Partition: p, Address: b.EndpointsRequest.GetAddress()},
			errors.Join(err, checkAddress(b.EndpointsRequest.GetAddress()))
	case *pb.Envelope_ConfigPush:
		c, err := decodeConfiguration(b.ConfigPush.GetConfiguration())
		return control.ConfigPush{Configuration: c}, err
	case *pb.Envelope_ConfigDelta:
		return decodeDelta(b.ConfigDelta)
	case *pb.Envelope_ConfigRequest:
		return control.ConfigRequest{Address: b.ConfigRequest.GetAddress()}, checkAddress(b.ConfigRequest.GetAddress())
	case *pb.Envelope_Transferred:
		p, err := decodePartition(b.Transferred.GetPartition())
		return control.Transferred{Partition: p}, err
	case *pb.Envelope_Released:
		return decodeReleased(b.Released)
	}
	return nil, errUnknownMessage
}

func decodeReleased(r *pb.Released) (control.Message, error) {
	p, err := decodePartition(r.GetPartition())
	if r.GetHost() == "" || r.GetInstance() == "" {
		err = errors.Join(err, errNoHost)
	}
	return control.Released{
		Partition: p, Epoch: structs.Epoch(r.GetEpoch()),
		Host: structs.HostID(r.GetHost()), Instance: structs.InstanceID(r.GetInstance()),
	}, err
}

func decodeHeartbeat(h *pb.Heartbeat) (control.Message, error) {
	out := control.Heartbeat{
		Host: structs.HostID(h.GetHost()), Instance: structs.InstanceID(h.GetInstance()), Address: h.GetAddress(),
		Region: h.GetRegion(), Zone: h.GetAvailabilityZone(), Generation: structs.Generation(h.GetGeneration()),
		StoreReachable: h.GetStoreReachable(), Draining: h.GetDraining(),
	}
	if out.Host == "" || out.Instance == "" {
		return nil, errNoHost
	}
	if err := checkAddress(out.Address); err != nil {
		return nil, err
	}
	for _, o := range h.GetOwned() {
		p, err := decodePartition(o.GetPartition())
		if err != nil {
			return nil, err
		}
		pending, err := decodeCount("pending", int64(o.GetPending()))
		if err != nil {
			return nil, err
		}
		out.Owned = append(out.Owned, control.OwnedPartition{
			Partition: p, Epoch: structs.Epoch(o.GetEpoch()), EndpointVersion: o.GetEndpointVersion(),
			Free: decodeResources(o.GetFree()), Pending: pending,
		})
	}
	return out, nil
}

func decodeEndpoints(m *pb.Endpoints) (control.Message, error) {
	p, err := decodePartition(m.GetPartition())
	if err != nil {
		return nil, err
	}
	out := control.Endpoints{Partition: p, Epoch: structs.Epoch(m.GetEpoch()), Version: m.GetVersion()}
	for _, t := range m.GetTargets() {
		slots, err := decodeCount("slots", int64(t.GetSlots()))
		if err != nil {
			return nil, err
		}
		if err := checkAddress(t.GetAddress()); err != nil {
			return nil, err
		}
		out.Targets = append(out.Targets, structs.Target{
			Service: t.GetService(), Task: structs.TaskID(t.GetTask()), Run: structs.Run(t.GetRun()),
			Worker: structs.WorkerID(t.GetWorker()), Zone: t.GetAvailabilityZone(), Address: t.GetAddress(),
			Slots: slots, Leaving: t.GetLeaving(),
		})
	}
	return out, nil
}

func decodeConfiguration(c *pb.Configuration) (structs.Configuration, error) {
	out := structs.Configuration{
		Generation: structs.Generation(c.GetGeneration()), Author: c.GetAuthor(), Stopped: c.GetStopped(),
	}
	rows, err := decodeRows(c.GetRows())
	out.Rows = rows
	return out, err
}

func decodeDelta(d *pb.ConfigDelta) (control.Message, error) {
	out := control.ConfigDelta{
		Base: structs.Generation(d.GetBase()), Generation: structs.Generation(d.GetGeneration()),
		Author: d.GetAuthor(), Removed: d.GetRemoved(), Stopped: d.GetStopped(),
	}
	if !slices.IsSorted(out.Removed) {
		return nil, errors.New("the removed rows are not sorted by name")
	}
	set, err := decodeRows(d.GetSet())
	out.Set = set
	return out, err
}

// decodeRows refuses rows that are not sorted by name; the reducer relies on the
// order.
func decodeRows(rows []*pb.SheetRow) ([]structs.SheetRow, error) {
	var out []structs.SheetRow
	for i, r := range rows {
		if i > 0 && r.GetName() <= out[i-1].Name {
			return nil, fmt.Errorf("row %q does not follow %q in the order of names", r.GetName(), out[i-1].Name)
		}
		row, err := decodeSheetRow(r)
		if err != nil {
			return nil, err
		}
		out = append(out, row)
	}
	return out, nil
}

func decodeSheetRow(r *pb.SheetRow) (structs.SheetRow, error) {
	count, err := decodeCount("count", r.GetCount())
	if err != nil {
		return structs.SheetRow{}, fmt.Errorf("row %q: %w", r.GetName(), err)
	}
	kind := structs.RowKind(r.GetKind())
	switch kind {
	case structs.KindService, structs.KindBatch, structs.KindTeam:
	default:
		return structs.SheetRow{}, fmt.Errorf("row %q: unknown kind %q", r.GetName(), r.GetKind())
	}
	return structs.SheetRow{
		Name: r.GetName(), Kind: kind, Team: r.GetTeam(), Command: r.GetCommand(),
		Importance: structs.Importance(r.GetImportance()), Count: count, Request: decodeResources(r.GetRequest()),
		DeadlineUnixMS: r.GetDeadlineUnixMs(), RunTimeMS: r.GetRunTimeMs(), LatencyTargetMS: r.GetLatencyTargetMs(),
		Idempotent: r.GetIdempotent(),
	}, nil
}

func decodeResources(r *pb.Resources) structs.Resources {
	return structs.Resources{
		MilliCores: r.GetMilliCores(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators(),
	}
}

func decodePartition(p uint32) (structs.PartitionID, error) {
	if p >= maxPartitions {
		return 0, fmt.Errorf("partition %d is not below %d", p, maxPartitions)
	}
	return structs.PartitionID(p), nil
}

func decodeCount(field string, n int64) (int, error) {
	if n < 0 || n > maxCount {
		return 0, fmt.Errorf("%s %d is not between 0 and %d", field, n, maxCount)
	}
	return int(n), nil
}

// checkAddress accepts IP:port only, since host names are never resolved.
func checkAddress(a string) error {
	if _, err := netip.ParseAddrPort(a); err != nil {
		return fmt.Errorf("address %q is not IP:port", a)
	}
	return nil
}
