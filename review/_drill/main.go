// Command drill shows a fault of the system: it starts instances with the commands of the deploy file, plays
// the platform, replicas and clients around them, and checks one rule of the pages.
//
//	drill CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	held      = 0
	broken    = 1
	notRun    = 2
	timeLimit = 110 * time.Second
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(notRun)
	}
	cases := map[string]func(k *record, folder string, trouble bool) (bool, error){"crowd": runCrowd, "version": runVersion, "recover": runRecover, "era": runEra, "takeup": runTakeUp}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(k *record, folder string, trouble bool) (bool, error), path string) int {
	k, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer k.close()
	folder, err := os.MkdirTemp("", "drill")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(folder)
	// The processes that were started end with this one.
	time.AfterFunc(timeLimit, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(notRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	k.add("begin, with the disruption: %v", trouble)
	fails, err := play(k, folder, trouble)
	switch {
	case err != nil:
		k.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	case fails:
		k.add("the rule was broken")
		return broken
	}
	k.add("the rule held")
	return held
}
