package node

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brassmux/internal/discovery"
)

// Guards against configuration errors that do not name the invalid key.
func TestConfigErrorsNameKey(t *testing.T) {
	discoveryServer := &fakeDiscovery{addr: "127.0.0.1:1"}
	for want, breakConfig := range map[string]func(*Config){
		"config: listen:":              func(c *Config) { c.Listen = "here" },
		"config: discovery:":           func(c *Config) { c.Discovery = "" },
		"config: source:":              func(c *Config) { c.Source = "here" },
		"config: admin (or LB_ADMIN):": func(c *Config) { c.Admin = "9900" },
		"LB_LISTEN_FD: descriptor 999": func(c *Config) { c.ListenFD = 999 },
		"config: seed:":                func(c *Config) { c.Seed = "seed" },
		"config: limits.sockets:":      func(c *Config) { c.Limits.FileDescriptors = 10 },
		"config: limits.sockets: 55": func(c *Config) {
			c.Limits.FileDescriptors, c.Admin = 55, "127.0.0.1:0"
		},
		"config: limits.memory_mb:":                  func(c *Config) { c.Limits.MemoryMB = -1 },
		"config: limits.cores:":                      func(c *Config) { c.Limits.Cores = -1 },
		"config: times.probe_ms:":                    func(c *Config) { c.Timeouts.HealthCheckMS = -1 },
		"config: settings.classes:":                  func(c *Config) { c.Settings.Classes = nil },
		"config: settings.classes[1].name":           func(c *Config) { c.Settings.Classes[1].Name = "" },
		"config: settings.rules.cold_from:":          func(c *Config) { c.Settings.Servers.SlowStartMinCapacity = 2 },
		"config: settings.ceilings.dial_timeout_us:": func(c *Config) { c.Settings.Limits.DialTimeoutMicros = -1 },
		"config: known.servers[0].addr":              func(c *Config) { c.InitialEndpoints.Servers[0].Addr = "x" },
	} {
		cfg := testConfig(t, discoveryServer)
		cfg.InitialEndpoints.Servers = []discovery.Endpoint{(&testServer{id: "s-1",
			addr: "127.0.0.1:1"}).endpoint("up")}
		breakConfig(&cfg)
		if _, err := New(cfg, nil); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// Guards against a default shutdown limit that is shorter than the longest deadline of a class, or longer than the
// platform allows.
func TestDefaultStopCoversLongestDeadline(t *testing.T) {
	for want, deadlines := range map[int64][2]int64{2600: {1_800_000, 2_000_000}, 3600: {0, 60_000_000}} {
		cfg := testConfig(t, &fakeDiscovery{addr: "127.0.0.1:1"})
		cfg.Timeouts.StopMS = 0
		for i, deadline := range deadlines {
			cfg.Settings.Classes[i].MaxTimeoutMicros = deadline
		}
		if err := cfg.validate(); err != nil || cfg.Timeouts.StopMS != want {
			t.Errorf("deadlines %v: got %d, %v", deadlines, cfg.Timeouts.StopMS, err)
		}
	}
}

// Guards against a listen error that does not name the configuration key.
func TestNewFailsOnUsedAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	cfg := testConfig(t, &fakeDiscovery{addr: "127.0.0.1:1"})
	cfg.Listen = listener.Addr().String()
	if _, err := New(cfg, nil); err == nil || !strings.Contains(err.Error(), "config: listen") {
		t.Errorf("got %v", err)
	}
}

// Guards against wrong precedence of the environment over the file, and against errors that do not name their source.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"LB_CONFIG": path, "LB_LISTEN": "127.0.0.1:9"}
	getenv := func(key string) string { return env[key] }
	if _, err := Load(getenv); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("got %v", err)
	}
	for text, want := range map[string]string{
		"{":                                 "LB_CONFIG: " + path,
		`{"limits":{"sockets":"x"}}`:        "limits.sockets",
		`{"known":{"servers":[{"id":""}]}}`: "id",
	} {
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := Load(getenv); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v", text, err)
		}
	}
	os.WriteFile(path, []byte(`{"name":"n3","listen":"127.0.0.1:8","discovery":"127.0.0.1:7","new":1,`+
		`"settings":`+siteJSON+`}`), 0o600)
	cfg, err := Load(getenv)
	if err != nil || cfg.Name != "n3" || cfg.Listen != "127.0.0.1:9" || cfg.Discovery != "127.0.0.1:7" ||
		cfg.Settings.Classes[1].Name != "pay" {
		t.Errorf("got %+v, %v", cfg, err)
	}
	env["LB_ADMIN"], env["LB_LISTEN_FD"], env["TMPDIR"] = "127.0.0.1:6", "5", "/shared"
	if cfg, err := Load(getenv); err != nil || cfg.Admin != "127.0.0.1:6" || cfg.ListenFD != 5 ||
		cfg.HandoverDir != "/shared" {
		t.Errorf("got %+v, %v", cfg, err)
	}
	for _, fd := range []string{"x", "2", "-1", "3.5"} {
		env["LB_LISTEN_FD"] = fd
		if _, err := Load(getenv); err == nil || !strings.Contains(err.Error(), "LB_LISTEN_FD") {
			t.Errorf("descriptor %s: got %v", fd, err)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil {
		t.Error("no error without LB_CONFIG")
	}
}
