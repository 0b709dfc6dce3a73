// Command referee runs a case of the review: it starts a small deployment of the project's own processes with
// stand-ins for the platform, the replicas and the clients, and judges what these have seen.
//
//	referee CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a case may take.
const longest = 110 * time.Second

var cases = map[string]func(w *world) (broken string, err error){
	"shorter":   shorterCase,
	"forgotten": forgottenCase,
	"lostrow":   lostRowCase,
	"rejoin":    rejoinCase,
	"blocked":   blockedCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: referee CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(f func(w *world) (string, error), folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	defer w.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case s := <-ended:
			w.record.say("the case could not run: %v", s)
		case <-time.After(longest):
			w.record.say("the case could not run: it took longer than %v", longest)
		}
		w.close()
		os.Exit(2)
	}()
	broken, err := f(w)
	switch {
	case err != nil:
		w.record.say("the case could not run: %v", err)
		return 2
	case broken != "":
		w.record.say("BROKEN: %s", broken)
		return 1
	}
	w.record.say("the rule held")
	return 0
}
