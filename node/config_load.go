package node

import (
	"encoding/json"
	"os"
	"strconv"

	"brassmux/internal/transient"
)

// The environment variables that Load reads.
const (
	configVariable   = "LB_CONFIG"
	listenFDVariable = "LB_LISTEN_FD"
)

// firstInheritedFD is the lowest descriptor after the standard streams.
const firstInheritedFD = 3

// Load reads the configuration at the start of the process, from the file that LB_CONFIG names. LB_NAME, LB_LISTEN,
// LB_ADMIN and LB_DISCOVERY take precedence over the file. LB_LISTEN_FD is the descriptor of an inherited listening
// socket; with it TMPDIR is the hand-over directory. Errors are of type *EnvironmentError. The values are not
// validated.
func Load(getenv func(string) string) (Config, error) {
	cfg, err := load(getenv, true)
	cfg.reread = func() (Config, error) { return LoadForReload(getenv) }
	return cfg, err
}

// LoadForReload reads the configuration for Node.Reload. The file takes precedence over the environment, which cannot
// change while the process runs.
func LoadForReload(getenv func(string) string) (Config, error) { return load(getenv, false) }

func load(getenv func(string) string, preferEnvironment bool) (Config, error) {
	var cfg Config
	path := getenv(configVariable)
	if path == "" {
		return cfg, newEnvironmentError(configVariable, nil, " names no file")
	}
	data, err := transient.RetryValue(func() ([]byte, error) { return os.ReadFile(path) })
	if err != nil {
		return cfg, newEnvironmentError(configVariable, err, ": %v", err)
	}
	if err := json.Unmarshal(data, &cfg); err != nil {
		return cfg, newEnvironmentError(configVariable, err, ": %s: %v", path, err)
	}
	for variable, target := range map[string]*string{
		"LB_NAME": &cfg.Name, "LB_LISTEN": &cfg.Listen, "LB_ADMIN": &cfg.Admin, "LB_DISCOVERY": &cfg.Discovery,
	} {
		if value := getenv(variable); value != "" && (preferEnvironment || *target == "") {
			*target = value
		}
	}
	if value := getenv(listenFDVariable); value != "" {
		if cfg.ListenFD, err = strconv.Atoi(value); err != nil || cfg.ListenFD < firstInheritedFD {
			return cfg, newEnvironmentError(listenFDVariable, err, ": %q is no number of a descriptor from %d on",
				value, firstInheritedFD)
		}
		cfg.HandoverDir = getenv("TMPDIR")
	}
	return cfg, nil
}
