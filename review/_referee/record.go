package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run, with the time since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.started) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// say is add, and prints the line as well.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%7.2f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
