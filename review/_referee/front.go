package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// front is a machine that runs the project's entry process with the command and the settings of the deploy file.
type front struct {
	name, zone              string
	front, ready, directory string
	firstPort               int
	settings, log           string
	root                    string
	record                  *record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// Ports are taken from below those that the kernel gives to outgoing connections.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

var takenPorts = map[int]bool{}

// freePorts returns the first of n ports in a row on which nobody listens.
func freePorts(n int) (int, error) {
next:
	for range 1000 {
		first := firstPort + rand.IntN(lastPort-firstPort)
		for p := first; p < first+n; p++ {
			if takenPorts[p] || !isFree(p) {
				continue next
			}
		}
		for p := first; p < first+n; p++ {
			takenPorts[p] = true
		}
		return first, nil
	}
	return 0, errors.New("no free ports")
}

func isFree(port int) bool {
	l, err := net.Listen("tcp", loopback(port))
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenPacket("udp", loopback(port))
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}

func loopback(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

// newFront writes the settings of a front, from the template of the deploy file.
func newFront(root, dir, name, zone, store string, r *record) (*front, error) {
	f := &front{name: name, zone: zone, root: root, record: r, settings: filepath.Join(dir, name+".ini"), log: filepath.Join(dir, name+".log")}
	first, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	f.front, f.ready, f.directory, f.firstPort = loopback(first), loopback(first+1), loopback(first+2), first+3
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.ini"))
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node}}", name, "{{zone}}", zone, "{{region}}", "bayern", "{{listen.front}}", f.front, "{{listen.ready}}", f.ready,
		"{{listen.directory}}", f.directory, "{{ip}}", "127.0.0.1", "{{port-range.0}}", strconv.Itoa(f.firstPort),
		"{{limits.memory-mb}}", "206", "{{provider.address}}", store, "{{bounds.grace-s}}", "8", "{{bounds.retry-budget-ratio}}", "0.2",
		"{{bounds.budget-min-retries}}", "113", "{{bounds.version_ms}}", "5000", "{{bounds.quota-window-s}}", "8",
	).Replace(string(template))
	return f, os.WriteFile(f.settings, []byte(text), 0o600)
}

func (f *front) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	out, err := os.OpenFile(f.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command("target/gentiangauge", "entry")
	c.Dir, c.Stdout, c.Stderr = f.root, out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GENTIANGAUGE_SETTINGS=" + f.settings, "GOGC=200", "GOMAXPROCS=1", "ENTRY_DESCRIPTORS=2870"}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	f.command, f.exited = c, make(chan struct{})
	exited := f.exited
	f.record.add("front %s: started, pid %d, requests at %s", f.name, c.Process.Pid, f.front)
	go func() {
		err := c.Wait()
		f.record.add("front %s: pid %d has ended: %v", f.name, c.Process.Pid, err)
		close(exited)
	}()
	return nil
}

func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.command != nil {
		f.record.say("front %s: %v", f.name, s)
		_ = f.command.Process.Signal(s)
	}
}

// kill ends the process and waits for it.
func (f *front) kill() {
	f.signal(syscall.SIGKILL)
	f.mu.Lock()
	exited := f.exited
	f.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (f *front) isReady() bool {
	k := http.Client{Timeout: time.Second}
	a, err := k.Get("http://" + f.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}
