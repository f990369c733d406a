package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/oops"

	"github.com/tamarackstep/tamarackstep/standin/caller"
)

func addCaller(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("caller", "Send idempotent calls and orders; print a JSON report at the end or on SIGTERM.")
	var o caller.Options
	entries := c.Flag("entry", "Entry host: callers' listener, then a comma and the operator listener for readiness. May be repeated.").
		Required().Strings()
	service := c.Flag("service", "Service to call.").Required().String()
	c.Flag("name", "Prefix of caller IDs and idempotency keys, unique per caller.").Default("caller").StringVar(&o.Name)
	c.Flag("calls", "Idempotent calls per second.").Default("50").Float64Var(&o.CallsPerSecond)
	c.Flag("orders", "Orders per second.").Default("10").Float64Var(&o.OrdersPerSecond)
	c.Flag("in-progress", "Maximum number of calls and orders at a time.").Default("32").IntVar(&o.MaxInProgress)
	c.Flag("attempts", "Maximum number of attempts per call or order.").Default("5").IntVar(&o.MaxAttempts)
	c.Flag("hold-ms", "Service time requested of the targets, in milliseconds; 0: their own.").Default("0").IntVar(&o.HoldMS)
	c.Flag("timeout", "Timeout of one attempt.").Default("10s").DurationVar(&o.AttemptTimeout)
	c.Flag("duration", "Length of the load; 0: until SIGTERM.").Default("10s").DurationVar(&o.Duration)
	c.Flag("repeat", "Repeat each completed order once at another host.").BoolVar(&o.RepeatOrders)
	c.Flag("initial-wait", "Wait before the first call.").Default("500ms").DurationVar(&o.InitialWait)
	c.Flag("seed", "Seed of the random choice of entry hosts.").Default("1").Uint64Var(&o.Seed)
	commands[c.FullCommand()] = func(ctx context.Context) error {
		for _, e := range *entries {
			calls, operator, _ := strings.Cut(e, ",")
			o.Hosts = append(o.Hosts, caller.Host{CallerAddress: calls, OperatorAddress: operator})
		}
		report := caller.NewCaller(o, *service).Run(ctx)
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return oops.Wrapf(err, "write the report")
		}
		if len(report.Violations) > 0 {
			return oops.Errorf("answers violated guarantees %d times", len(report.Violations))
		}
		return nil
	}
}
