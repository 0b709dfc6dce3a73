package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gentiangauge.example/gentiangauge/instance"
	"gentiangauge.example/gentiangauge/settings"
	"gentiangauge.example/gentiangauge/state/shedding"
)

func init() {
	register(&cli.Command{
		Name:  "instance",
		Usage: "run an entry instance",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "file with the settings"},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and end"},
			&cli.BoolFlag{Name: "print-defaults", Usage: "print the commented default settings and end"},
		},
		Action: runInstance,
	})
}

func runInstance(c context.Context, k *cli.Command) error {
	if k.Bool("print-defaults") {
		fmt.Fprint(k.Root().Writer, string(settings.Default()))
		return nil
	}
	file := k.String("settings")
	if file == "" {
		return usageError("--settings FILE is missing")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return usageError("read settings: %v", err)
	}
	s, err := settings.Parse(file, data)
	if err != nil || k.Bool("check-settings") {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.Instance.MemoryMegabytes<<20) * shedding.RuntimeShare))
	log, err := newLog(s.Instance.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	c, stop := signal.NotifyContext(c, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return instance.New(s, log.With(zap.String("instance", s.Instance.Name))).Run(c)
}

// newLog returns a logger that writes JSON lines. The field "part" holds the name of
// the component that logs. Sampling is off, so that no line is dropped.
func newLog(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "parse log level")
	}
	g := zap.NewProductionConfig()
	g.Level = zap.NewAtomicLevelAt(l)
	g.EncoderConfig.TimeKey = "time"
	g.EncoderConfig.NameKey = "part"
	g.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	g.DisableStacktrace = true
	g.DisableCaller = true
	g.Sampling = nil
	return g.Build()
}
