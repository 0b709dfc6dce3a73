package crowd

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gentiangauge.example/gentiangauge/timer"
)

const (
	// maxUnread is the most that the users' machines keep of a connection whose data is not read.
	maxUnread = 64 << 10
	// sampleInterval is the time between two samples of a Watch.
	sampleInterval = 10 * time.Millisecond
	// listening is the state of a listening socket in the kernel's list of sockets.
	listening = "0A"
)

// Usage is what a process holds.
type Usage struct {
	// Anonymous is its anonymous resident memory, Unread the data that has arrived for it and that it has not read,
	// both in bytes.
	Anonymous, Unread int64
	// Descriptors are all open ones, Sockets those of sockets and pipes.
	Descriptors, Sockets int
}

// Memory returns what counts towards the memory of a machine, in bytes.
func (u Usage) Memory() int64 { return u.Anonymous + u.Unread }

func (u Usage) String() string {
	return fmt.Sprintf("%.1f MB of memory, %.1f MB unread, %d descriptors, %d of sockets", float64(u.Anonymous)/(1<<20), float64(u.Unread)/(1<<20), u.Descriptors, u.Sockets)
}

// Measure returns what a process holds. It fails if the process has ended.
func Measure(pid int) (Usage, error) {
	folder := fmt.Sprintf("/proc/%d", pid)
	var u Usage
	var err error
	if u.Anonymous, err = anonymous(filepath.Join(folder, "status")); err != nil {
		return Usage{}, err
	}
	l, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return Usage{}, eris.Wrap(err, "read descriptors")
	}
	inodes := map[string]bool{}
	u.Descriptors = len(l)
	for _, x := range l {
		// A descriptor may have been closed meanwhile.
		name, _ := os.Readlink(filepath.Join(folder, "fd", x.Name()))
		if id, ok := strings.CutPrefix(name, "socket:["); ok {
			inodes[strings.TrimSuffix(id, "]")] = true
			u.Sockets++
		} else if strings.HasPrefix(name, "pipe:") {
			u.Sockets++
		}
	}
	u.Unread, err = unread(filepath.Join(folder, "net", "tcp"), inodes)
	return u, err
}

// anonymous returns the anonymous resident memory that a status file states.
func anonymous(file string) (int64, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return 0, eris.Wrap(err, "read status")
	}
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(v, "kB")), 10, 64)
			return kb << 10, eris.Wrap(err, "parse resident memory")
		}
	}
	return 0, eris.New("status states no resident memory")
}

// unread returns the bytes that wait in the receive queues of connections.
func unread(file string, inodes map[string]bool) (int64, error) {
	f, err := os.Open(file)
	if err != nil {
		return 0, eris.Wrap(err, "read sockets")
	}
	defer f.Close()
	var sum int64
	s := bufio.NewScanner(f)
	for s.Scan() {
		// The columns are: number, local and remote address, state, both queues, timer, retransmits, user, timeout, inode.
		x := strings.Fields(s.Text())
		if len(x) < 10 || x[3] == listening || !inodes[x[9]] {
			continue
		}
		_, queue, _ := strings.Cut(x[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, eris.Wrap(err, "parse receive queue")
		}
		sum += min(n, maxUnread)
	}
	return sum, eris.Wrap(s.Err(), "read sockets")
}

// Watch samples what a process holds.
type Watch struct {
	pid  int
	stop context.CancelFunc
	over sync.WaitGroup
	peak Usage
	// ended is set if the process had ended at a sample.
	ended bool
	most  int64
}

// NewWatch starts to watch a process.
func NewWatch(pid int) *Watch {
	c, cancel := context.WithCancel(context.Background())
	w := &Watch{pid: pid, stop: cancel}
	w.over.Go(func() { w.run(c, timer.New()) })
	return w
}

func (w *Watch) run(c context.Context, t *timer.Service) {
	for {
		u, err := Measure(w.pid)
		if err != nil {
			w.ended = true
			return
		}
		if u.Memory() > w.most {
			w.most, w.peak.Anonymous, w.peak.Unread = u.Memory(), u.Anonymous, u.Unread
		}
		w.peak.Descriptors, w.peak.Sockets = max(w.peak.Descriptors, u.Descriptors), max(w.peak.Sockets, u.Sockets)
		if t.Wait(c, sampleInterval) != nil {
			return
		}
	}
}

// Stop returns the most that the process has held of each resource, and whether it was alive all the while.
func (w *Watch) Stop() (peak Usage, alive bool) {
	w.stop()
	w.over.Wait()
	return w.peak, !w.ended
}
