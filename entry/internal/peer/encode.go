// Package peer exchanges messages between entry hosts: it converts the messages of
// core/control to and from protobuf, executes SendPeer effects, and serves the peer
// listener. It owns the connections to peers and makes no decisions; received
// messages become events of the control loop.
package peer

import (
	"fmt"

	pb "github.com/tamarackstep/tamarackstep/api/tamarackstepv1"
	"github.com/tamarackstep/tamarackstep/core/control"
	"github.com/tamarackstep/tamarackstep/core/structs"
)

// Encode returns the envelope of a message from the given host.
func Encode(from structs.HostID, m control.Message) (*pb.Envelope, error) {
	e := &pb.Envelope{FromHost: string(from)}
	switch b := m.(type) {
	case control.Heartbeat:
		e.Message = &pb.Envelope_Heartbeat{Heartbeat: encodeHeartbeat(b)}
	case control.Endpoints:
		e.Message = &pb.Envelope_Endpoints{Endpoints: encodeEndpoints(b)}
	case control.EndpointsRequest:
		e.Message = &pb.Envelope_EndpointsRequest{EndpointsRequest: &pb.EndpointsRequest{
			Partition: uint32(b.Partition), Address: b.Address,
		}}
	case control.ConfigPush:
		e.Message = &pb.Envelope_ConfigPush{ConfigPush: &pb.ConfigPush{
			Configuration: encodeConfiguration(b.Configuration),
		}}
	case control.ConfigDelta:
		e.Message = &pb.Envelope_ConfigDelta{ConfigDelta: &pb.ConfigDelta{
			Base: uint64(b.Base), Generation: uint64(b.Generation), Author: b.Author,
			Set: encodeRows(b.Set), Removed: b.Removed, Stopped: b.Stopped,
		}}
	case control.ConfigRequest:
		e.Message = &pb.Envelope_ConfigRequest{ConfigRequest: &pb.ConfigRequest{Address: b.Address}}
	case control.Transferred:
		e.Message = &pb.Envelope_Transferred{Transferred: &pb.Transferred{Partition: uint32(b.Partition)}}
	case control.Released:
		e.Message = &pb.Envelope_Released{Released: &pb.Released{
			Partition: uint32(b.Partition), Epoch: uint64(b.Epoch), Host: string(b.Host), Instance: string(b.Instance),
		}}
	default:
		return nil, fmt.Errorf("messages of type %T cannot be encoded", m)
	}
	return e, nil
}

func encodeHeartbeat(h control.Heartbeat) *pb.Heartbeat {
	out := &pb.Heartbeat{
		Host: string(h.Host), Instance: string(h.Instance), Address: h.Address, Region: h.Region,
		AvailabilityZone: h.Zone, Generation: uint64(h.Generation),
		StoreReachable: h.StoreReachable, Draining: h.Draining,
	}
	for _, o := range h.Owned {
		out.Owned = append(out.Owned, &pb.OwnedPartition{
			Partition: uint32(o.Partition), Epoch: uint64(o.Epoch), EndpointVersion: o.EndpointVersion,
			Free: encodeResources(o.Free), Pending: uint32(o.Pending),
		})
	}
	return out
}

func encodeEndpoints(m control.Endpoints) *pb.Endpoints {
	out := &pb.Endpoints{Partition: uint32(m.Partition), Epoch: uint64(m.Epoch), Version: m.Version}
	for _, t := range m.Targets {
		out.Targets = append(out.Targets, &pb.Target{
			Service: t.Service, Task: string(t.Task), Run: uint64(t.Run), Worker: string(t.Worker),
			AvailabilityZone: t.Zone, Address: t.Address, Slots: uint32(t.Slots), Leaving: t.Leaving,
		})
	}
	return out
}

func encodeConfiguration(c structs.Configuration) *pb.Configuration {
	return &pb.Configuration{
		Generation: uint64(c.Generation), Author: c.Author, Stopped: c.Stopped, Rows: encodeRows(c.Rows),
	}
}

func encodeRows(rows []structs.SheetRow) []*pb.SheetRow {
	var out []*pb.SheetRow
	for _, r := range rows {
		out = append(out, &pb.SheetRow{
			Name: r.Name, Kind: string(r.Kind), Team: r.Team, Command: r.Command,
			Importance: int32(r.Importance), Count: int64(r.Count), Request: encodeResources(r.Request),
			DeadlineUnixMs: r.DeadlineUnixMS, RunTimeMs: r.RunTimeMS, LatencyTargetMs: r.LatencyTargetMS,
			Idempotent: r.Idempotent,
		})
	}
	return out
}

func encodeResources(r structs.Resources) *pb.Resources {
	return &pb.Resources{MilliCores: r.MilliCores, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}
