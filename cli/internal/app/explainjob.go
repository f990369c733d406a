package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/cli/internal/command"
	"github.com/tamarackstep/tamarackstep/cli/internal/operator"
	"github.com/tamarackstep/tamarackstep/cli/internal/render"
	"github.com/tamarackstep/tamarackstep/core/scheduler"
)

// maxJobBytes is the size of the largest body that a host reads.
const maxJobBytes = 1 << 20

// explainJob asks a host what would happen to a job that is not submitted. The host decodes the
// job, as it does for callers.
func explainJob(ctx context.Context, inv command.Invocation, c command.ExplainJob, stdin io.Reader, origin render.Origin) render.Report {
	body, err := readJob(c.File, stdin)
	if err != nil {
		return render.Failure{Origin: origin, Status: render.ExitUsage, Message: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, inv.Timeout)
	defer cancel()
	request := operator.Request{
		Method: http.MethodPost, Path: wire.PathExplainJob, Query: url.Values{"host": {c.Host}, "path": {c.Path}}, Body: body, Retryable: true,
	}
	response, err := operator.NewClient(inv.Hosts, inv.Token).Do(ctx, request)
	origin.AnsweredBy = response.Host
	if err != nil {
		return render.Failure{Origin: origin, Status: render.ExitUnreachable, Message: err.Error()}
	}
	reply, ok := decode[scheduler.Explanation](response)
	if !ok {
		return reportWithoutReply(c, response, origin)
	}
	for _, host := range inv.Hosts {
		if reply.Verdict == scheduler.VerdictAccepted && host.String() != response.Host {
			addPlacements(ctx, inv, host, request, &reply)
		}
	}
	return render.ExplainJob{Origin: origin, Explanation: reply}
}

// addPlacements adds what a further host tells of the shards that it leads, since only the
// leader of a shard knows its workers. A host that does not answer adds nothing.
func addPlacements(ctx context.Context, inv command.Invocation, host netip.AddrPort, request operator.Request, to *scheduler.Explanation) {
	ctx, cancel := context.WithTimeout(ctx, inv.Timeout/time.Duration(len(inv.Hosts)))
	defer cancel()
	response, err := operator.NewClient([]netip.AddrPort{host}, inv.Token).Do(ctx, request)
	other, ok := decode[scheduler.Explanation](response)
	if err != nil || !ok {
		return
	}
	for _, x := range other.Shards {
		at := slices.IndexFunc(to.Shards, func(s scheduler.ShardExplanation) bool { return s.Shard == x.Shard })
		if at >= 0 && x.Placement != nil && to.Shards[at].Placement == nil {
			to.Shards[at].Leader, to.Shards[at].Placement = x.Leader, x.Placement
		}
	}
	to.SumUp()
}

func readJob(file string, stdin io.Reader) ([]byte, error) {
	in, name := stdin, "standard input"
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in, name = f, file
	}
	body, err := io.ReadAll(io.LimitReader(in, maxJobBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) == 0:
		return nil, errors.New(name + " is empty")
	case len(body) > maxJobBytes:
		return nil, fmt.Errorf("%s is larger than %d bytes", name, maxJobBytes)
	}
	return body, nil
}
