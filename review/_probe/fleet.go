package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is a machine with the process of an entry.
type machine struct {
	name, zone, ip          string
	front, ready, directory string
	folder, settings        string
	process                 *exec.Cmd
}

const program = "target/gentiangauge"

// Ports of all machines, each of which has a loopback address of its own.
type ports struct{ directory, front, ready, first int }

// freePorts returns ports that are free at all addresses.
func freePorts(ips []string) (ports, error) {
	next := 20_000 + os.Getpid()*16%12_000
	for range 500 {
		p := ports{directory: next, front: next + 1, ready: next + 2, first: next + 3}
		next += 16
		if free(ips, p.directory, p.front, p.ready, p.first, p.first+1) {
			return p, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func free(ips []string, list ...int) bool {
	for _, ip := range ips {
		for _, p := range list {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// newMachines returns n machines in one zone each, without processes, with settings from the template of the
// deploy file. The parameter bounds replaces figures of the template.
func newMachines(n int, folder, storeAddress string, bounds map[string]string) ([]*machine, error) {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return nil, err
	}
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	var out []*machine
	for i, ip := range ips {
		m := &machine{
			name: fmt.Sprintf("front-%d", i+1), zone: fmt.Sprintf("zone-%c", 'a'+i), ip: ip, folder: folder,
			front: fmt.Sprintf("%s:%d", ip, p.front), ready: fmt.Sprintf("%s:%d", ip, p.ready), directory: fmt.Sprintf("%s:%d", ip, p.directory),
		}
		values := map[string]string{
			"node": m.name, "zone": m.zone, "region": "region", "ip": ip, "listen.front": m.front, "listen.ready": m.ready, "listen.directory": m.directory,
			"port-range.0": fmt.Sprint(p.first), "limits.memory-mb": "206", "provider.address": storeAddress,
			"bounds.grace-s": "8", "bounds.retry-budget-ratio": "0.2", "bounds.budget-min-retries": "113", "bounds.version_ms": "5000", "bounds.quota-window-s": "8",
		}
		for k, v := range bounds {
			values[k] = v
		}
		text := string(template)
		for k, v := range values {
			text = strings.ReplaceAll(text, "{{"+k+"}}", v)
		}
		if strings.Contains(text, "{{") {
			return nil, fmt.Errorf("the template of the settings has an unknown placeholder")
		}
		m.settings = filepath.Join(folder, m.name+".ini")
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

// start starts the process of the machine with the command and the environment of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(program, "entry")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GENTIANGAUGE_SETTINGS=" + m.settings, "GOGC=200", "GOMAXPROCS=1"}
	c.Stdout, c.Stderr = log, log
	// The process ends with this one, however this one ends.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.process = c
	return c.Start()
}

// kill ends the process at once, and waits for its end.
func (m *machine) kill() {
	if m.process != nil {
		_ = m.process.Process.Kill()
		_ = m.process.Wait()
		m.process = nil
	}
}

// terminate asks the process to end, as planned work does, and doesn't wait for that.
func (m *machine) terminate() error {
	return m.process.Process.Signal(syscall.SIGTERM)
}

// isReady asks the machine whether it is ready, as the platform does.
func (m *machine) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	a, err := c.Get("http://" + m.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(all []*machine) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, m := range all {
			if m.isReady() {
				n++
			}
		}
		if n == len(all) {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after 20 s")
}
