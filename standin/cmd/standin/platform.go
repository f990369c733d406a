package main

import (
	"context"
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarackstep/tamarackstep/standin/platform"
)

func addPlatform(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("platform", "Run the platform's stand-in: the table service, the object store and the host list.")
	address := c.Flag("listen", "Address, IP:port; port 0 picks a free one.").Default("127.0.0.1:0").String()
	seed := c.Flag("seed", "Seed for drawing lost answers.").Default("1").Uint64()
	commands[c.FullCommand()] = func(ctx context.Context) error {
		l, err := listen(*address)
		if err != nil {
			return err
		}
		s := platform.NewServer(*seed)
		go s.Run(ctx)
		fmt.Println("platform", l.Addr())
		return serve(ctx, l, &http.Server{Handler: s})
	}
}
