package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"gentiangauge.example/gentiangauge/logs"
	"gentiangauge.example/gentiangauge/platform"
)

func init() {
	register(&cli.Command{
		Name:   "entry",
		Usage:  "run an entry instance on the users' machines",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "file with the settings, if the platform names none"}},
		Action: runEntry,
	})
}

func runEntry(c context.Context, k *cli.Command) error {
	file := k.String("settings")
	if file == "" {
		file = platform.SettingsFile()
	}
	if file == "" {
		return usageError("--settings FILE is missing")
	}
	c, stop := signal.NotifyContext(c, os.Interrupt, syscall.SIGTERM)
	defer stop()
	return platform.Run(c, file, platform.Options{NewLog: func(level string) (*logs.Log, error) { return logs.New(level, os.Stdout) }})
}
