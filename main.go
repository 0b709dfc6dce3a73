// Command gentiangauge is a serving layer for many LoRA adapters, shared by many workspaces.
package main

import (
	"context"
	"os"

	"gentiangauge.example/gentiangauge/commands"
)

func main() {
	os.Exit(commands.Run(context.Background(), os.Args))
}
