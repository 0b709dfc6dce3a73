// Command run serves one stand-in of an external system. Its subcommands announce and request
// are the HTTP client of the demo scripts.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"gentiangauge.example/gentiangauge/standin"
)

func main() {
	c, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "IP number and port"}
	app := &cli.Command{
		Name:  "standin",
		Usage: "stand in for an outside system",
		Commands: append(clientCommands(), []*cli.Command{
			{Name: "platform", Action: platform, Flags: []cli.Flag{listen, &cli.IntFlag{Name: "loads-per-second", Value: 3}, &cli.DurationFlag{Name: "lag"}}},
			{Name: "engine", Action: engine, Flags: []cli.Flag{
				listen,
				&cli.StringFlag{Name: "weights"},
				&cli.IntFlag{Name: "slots", Value: 8},
				&cli.DurationFlag{Name: "token-time", Value: 5 * time.Millisecond},
				&cli.BoolFlag{Name: "checks-fencing"},
			}},
			{Name: "service", Action: service, Flags: []cli.Flag{listen, &cli.StringFlag{Name: "name", Value: "service"}}},
		}...),
	}
	if err := app.Run(c, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func platform(c context.Context, k *cli.Command) error {
	p := standin.NewPlatform()
	p.LoadsPerSecond = int64(k.Int("loads-per-second"))
	p.ListingLag = k.Duration("lag")
	return serve(c, k, p.Handler())
}

func engine(c context.Context, k *cli.Command) error {
	e := standin.NewEngine(standin.EngineConfig{
		WeightsAddress: k.String("weights"),
		Slots:          k.Int("slots"),
		StepTime:       k.Duration("token-time"),
		ChecksFencing:  k.Bool("checks-fencing"),
	})
	return serve(c, k, e.Handler())
}

func service(c context.Context, k *cli.Command) error {
	return serve(c, k, standin.NewService(k.String("name")).Handler())
}

func serve(c context.Context, k *cli.Command, h http.Handler) error {
	s := &http.Server{Addr: k.String("listen"), Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-c.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
