package main

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func encode64(b []byte) string { return base64.StdEncoding.EncodeToString(b) }

func decode64(text string) string {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return ""
	}
	return string(b)
}

// instance is one machine of the system with its process.
type instance struct {
	name, zone, ip          string
	front, ready, directory string
	firstPort               int
	file, logFile           string
	run                     []string
	env                     []string
	record                  *record
	mu                      sync.Mutex
	cmd                     *exec.Cmd
	expected                bool
	stopped                 bool
	killedForMemory         int
	done                    chan struct{}
}

// deployment is what the deploy file says of the one role of the system.
type deployment struct {
	run      []string
	env      []string
	template string
}

// readDeployment reads the command, the environment and the template of the role from the deploy file.
func readDeployment() (deployment, error) {
	var d deployment
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return d, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		key, value, ok := strings.Cut(line, "=")
		value = strings.TrimSpace(value)
		switch {
		case !ok:
		case strings.TrimSpace(key) == "run":
			d.run = strings.Fields(strings.Trim(value, `"`))
		case strings.TrimSpace(key) == "template":
			d.template = strings.Trim(value, `"`)
		case strings.TrimSpace(key) == "env":
			for _, x := range strings.Split(strings.Trim(value, "{} "), ",") {
				k, v, _ := strings.Cut(x, "=")
				d.env = append(d.env, strings.TrimSpace(k)+"="+strings.Trim(strings.TrimSpace(v), `"`))
			}
		}
	}
	if len(d.run) == 0 || d.template == "" {
		return d, fmt.Errorf("deploy/system.toml names no command or template")
	}
	return d, nil
}

// fill fills in the placeholders of the template of the settings.
func fill(text string, values map[string]string) (string, error) {
	var out strings.Builder
	for {
		before, rest, ok := strings.Cut(text, "{{")
		out.WriteString(before)
		if !ok {
			return out.String(), nil
		}
		name, after, _ := strings.Cut(rest, "}}")
		v, known := values[name]
		if !known {
			return "", fmt.Errorf("the template names %q", name)
		}
		out.WriteString(v)
		text = after
	}
}

// newInstance returns an instance on a loopback address of its own, on which its ports are free.
func newInstance(d deployment, folder, name, zone, ip, storeAddress string, k *record) (*instance, error) {
	i := &instance{name: name, zone: zone, ip: ip, run: d.run, env: d.env, record: k}
	base, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	i.firstPort = base
	i.front, i.ready, i.directory = address(ip, base+16), address(ip, base+17), address(ip, base+18)
	values := map[string]string{
		"node": name, "zone": zone, "region": "region-1", "listen.front": i.front, "listen.ready": i.ready, "listen.directory": i.directory,
		"ip": ip, "port-range.0": strconv.Itoa(base), "limits.memory-mb": "206", "provider.address": storeAddress,
		"bounds.grace-s": "8", "bounds.retry-budget-ratio": "0.2", "bounds.budget-min-retries": "116", "bounds.version_ms": "5000", "bounds.quota-window-s": "8",
	}
	data, err := os.ReadFile(d.template)
	if err != nil {
		return nil, err
	}
	text, err := fill(string(data), values)
	if err != nil {
		return nil, err
	}
	i.file, i.logFile = filepath.Join(folder, name+".ini"), filepath.Join(folder, name+".log")
	return i, os.WriteFile(i.file, []byte(text), 0o600)
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// freePorts returns the first of 20 ports that are free on an address.
func freePorts(ip string) (int, error) {
	for base := 7600; base < 20000; base += 40 {
		var open []net.Listener
		for p := base; p < base+20; p++ {
			l, err := net.Listen("tcp", address(ip, p))
			if err != nil {
				break
			}
			open = append(open, l)
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == 20 {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports on %s", ip)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	f, err := os.OpenFile(i.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	c := exec.Command(i.run[0], i.run[1:]...)
	c.Stdout, c.Stderr = f, f
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GENTIANGAUGE_SETTINGS=" + i.file}, i.env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	i.mu.Lock()
	i.cmd, i.expected = c, false
	done := make(chan struct{})
	i.done = done
	i.mu.Unlock()
	i.record.add("%s started", i.name)
	go func() {
		err := c.Wait()
		i.mu.Lock()
		expected := i.expected
		i.mu.Unlock()
		i.record.add("%s ended, expected %v: %v", i.name, expected, err)
		close(done)
	}()
	return nil
}

// kill ends the process as a disruption or at the end of the drill, and waits for that.
func (i *instance) kill() {
	i.mu.Lock()
	c, done := i.cmd, i.done
	i.expected = true
	i.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-done
	}
}

// supervise does what the platform does to a process: it is killed if its memory exceeds the limit, and it
// is started again half a second after its end.
func (i *instance) supervise(limitBytes int64, peak *peakMemory) {
	for {
		i.mu.Lock()
		c, done, stopped := i.cmd, i.done, i.stopped
		i.mu.Unlock()
		if stopped {
			return
		}
		select {
		case <-done:
			time.Sleep(500 * time.Millisecond)
			i.mu.Lock()
			again := !i.stopped && i.cmd == c
			i.mu.Unlock()
			if again {
				if err := i.start(); err != nil {
					i.record.add("%s cannot be started: %v", i.name, err)
					return
				}
			}
			continue
		case <-time.After(20 * time.Millisecond):
		}
		n := anonymousMemory(c.Process.Pid)
		peak.observe(n)
		if n > limitBytes {
			i.mu.Lock()
			i.killedForMemory++
			i.mu.Unlock()
			i.record.add("%s has %d bytes of anonymous memory, the limit is %d: the platform kills it", i.name, n, limitBytes)
			_ = c.Process.Kill()
			<-done
		}
	}
}

func (i *instance) stop() {
	i.mu.Lock()
	i.stopped = true
	i.mu.Unlock()
	i.kill()
}

// anonymousMemory returns the resident anonymous memory of a process: without files and shared pages.
func anonymousMemory(pid int) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "RssAnon:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return n << 10
		}
	}
	return 0
}

type peakMemory struct {
	mu sync.Mutex
	n  int64
}

func (p *peakMemory) observe(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n = max(p.n, n)
}

// record is what was sent, answered and run, with the seconds since the begin of the drill.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f}, err
}

func (k *record) add(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fmt.Fprintf(k.file, "%8.3f  %s\n", time.Since(k.began).Seconds(), fmt.Sprintf(format, args...))
}

func (k *record) close() { _ = k.file.Close() }
