package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// testTimeout limits the wait for an expected event.
const testTimeout = 20 * time.Second

// runMainVariable is the environment variable that makes the test binary run main instead of the tests.
const runMainVariable = "BRASSMUX_TEST_MAIN"

// TestMain runs the program instead of the tests if runMainVariable is set, so that tests can start it as a process.
func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// newCommand returns a command that starts the program with a configuration. shellPrefix is shell code that runs before
// the program, for example to set limits.
func newCommand(t *testing.T, shellPrefix, config string) (cmd *exec.Cmd, configPath string) {
	t.Helper()
	configPath = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command("/bin/sh", "-c", shellPrefix+` exec "$0"`, os.Args[0])
	cmd.Env = append(os.Environ(), runMainVariable+"=1", "LB_CONFIG="+configPath,
		"LB_NAME=", "LB_LISTEN=", "LB_DISCOVERY=")
	return cmd, configPath
}

// minimalConfig returns a configuration whose discovery service is unreachable.
func minimalConfig(listen string, sockets int) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","limits":{"cores":1,"memory_mb":192,
		"sockets":%d},"settings":{"classes":[{"name":"chat","effect":"read_like"}]}}`, listen, sockets)
}

// process is a running instance of the program and its log.
type process struct {
	*exec.Cmd
	t          *testing.T
	log        *bufio.Scanner
	addr       string
	configPath string
}

// startMinimal starts the program with a minimal configuration.
func startMinimal(t *testing.T, shellPrefix string, sockets int) *process {
	t.Helper()
	cmd, path := newCommand(t, shellPrefix, minimalConfig("127.0.0.1:0", sockets))
	p := startProcess(t, cmd, testTimeout)
	p.configPath = path
	return p
}

// startProcess starts the program and waits until it serves. The process is killed after maxRunTime and when the test
// ends.
func startProcess(t *testing.T, cmd *exec.Cmd, maxRunTime time.Duration) *process {
	t.Helper()
	p := &process{Cmd: cmd, t: t}
	log, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Wait() })
	p.killAfter(maxRunTime)
	p.log = bufio.NewScanner(log)
	p.addr = p.awaitMessage("serving")["listen"].(string)
	return p
}

// killAfter kills the process after maxRunTime and when the test ends.
func (p *process) killAfter(maxRunTime time.Duration) {
	timer := time.AfterFunc(maxRunTime, func() { p.Process.Kill() })
	p.t.Cleanup(func() {
		timer.Stop()
		p.Process.Kill()
	})
}

// awaitMessage reads the log up to the first line with a message and returns that line.
func (p *process) awaitMessage(message string) map[string]any {
	p.t.Helper()
	for p.log.Scan() {
		if line := p.parseLogLine(); line["msg"] == message {
			return line
		}
	}
	p.t.Fatalf("the log ended without the message %q", message)
	return nil
}

// parseLogLine decodes the log line that was read last.
func (p *process) parseLogLine() (line map[string]any) {
	if err := json.Unmarshal(p.log.Bytes(), &line); err != nil {
		p.t.Errorf("log line is not a JSON object: %q", p.log.Text())
	}
	return line
}

// reload replaces the configuration file and sends SIGHUP to the program.
func (p *process) reload(config string) {
	p.t.Helper()
	if err := os.WriteFile(p.configPath+".new", []byte(config), 0o600); err != nil {
		p.t.Fatal(err)
	} else if err := os.Rename(p.configPath+".new", p.configPath); err != nil {
		p.t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
}

// ping sends one ping as a client and checks the answer.
func ping(addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "PING\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && line != "PONG\r\n" {
		err = fmt.Errorf("got %q", line)
	}
	return err
}

// waitUntil waits until a condition holds and fails the test after testTimeout.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for " + description)
		}
	}
}
