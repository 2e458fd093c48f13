package node

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"brassmux/internal/settings"
)

// adminKey names the two sources of the admin address in error messages.
const adminKey = "admin (or LB_ADMIN)"

// validate calls Validate and returns only the first error.
func (c *Config) validate() error {
	if faults := c.Validate(); len(faults) > 0 {
		return faults[0]
	}
	return nil
}

// Validate replaces zero values with defaults and returns a *ConfigError for each invalid key.
func (c *Config) Validate() []error {
	c.setDefaults()
	var faults configErrors
	c.validateAddresses(&faults)
	if _, err := c.parseSeed(); err != nil {
		faults = append(faults, err)
	}
	for _, timeout := range c.timeouts() {
		if *timeout.value < 0 {
			faults.add("times."+timeout.key, "%d is negative", *timeout.value)
		}
	}
	minDescriptors := reservedDescriptors + minConnectionDescriptors + c.adminConnectionLimit()
	faults.addOutOfRange(
		rangeCheck{"limits.cores", c.Limits.Cores < 0, c.Limits.Cores},
		rangeCheck{"limits.memory_mb", c.Limits.MemoryMB < 0, c.Limits.MemoryMB},
		rangeCheck{"limits.sockets", c.Limits.FileDescriptors < minDescriptors, c.Limits.FileDescriptors},
	)
	validateSite(&faults, "settings", &c.Settings)
	if c.ShadowSettings != nil {
		validateSite(&faults, "watch_settings", c.ShadowSettings)
	}
	c.validateBudgets(&faults)
	faults.addNested("known", c.InitialEndpoints.Validate())
	return faults
}

func (c *Config) validateAddresses(faults *configErrors) {
	for _, address := range []struct {
		key, addr string
		required  bool
	}{{"listen", c.Listen, true}, {"discovery", c.Discovery, true}, {adminKey, c.Admin, false}} {
		if address.addr == "" && !address.required {
			continue
		}
		if _, port, err := net.SplitHostPort(address.addr); err != nil || port == "" {
			faults.add(address.key, "%q is no address with a port", address.addr)
		}
	}
	if c.Source != "" {
		if _, err := netip.ParseAddr(c.Source); err != nil {
			faults.add("source", "%q is no IP address", c.Source)
		}
	}
}

// parseSeed returns the seed of the pseudo-random numbers.
func (c *Config) parseSeed() (uint64, error) {
	if c.Seed == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, &ConfigError{Key: "seed", Err: err,
			detail: fmt.Sprintf(": %q is no number of at most 16 hexadecimal digits", c.Seed)}
	}
	return seed, nil
}

// rangeCheck is the result of a range check of one key.
type rangeCheck struct {
	key        string
	outOfRange bool
	value      any
}

func (e *configErrors) addOutOfRange(checks ...rangeCheck) {
	for _, check := range checks {
		if check.outOfRange {
			e.add(check.key, "%v is out of range", check.value)
		}
	}
}

// addUnlisted reports a value that is neither empty nor one of the allowed values.
func (e *configErrors) addUnlisted(key, value string, allowed []string) {
	if value != "" && !slices.Contains(allowed, value) {
		e.add(key, "%q is none of %q", value, allowed)
	}
}

// validateSite checks a site's settings. The keys in its errors begin with prefix.
func validateSite(faults *configErrors, prefix string, site *settings.Site) {
	minCapacity := site.Servers.SlowStartMinCapacity
	faults.addOutOfRange(
		rangeCheck{prefix + ".balancers", site.NodeCount < 0, site.NodeCount},
		rangeCheck{prefix + ".index", site.NodeIndex < 0, site.NodeIndex},
		rangeCheck{prefix + ".ceilings.dial_timeout_us", site.Limits.DialTimeoutMicros < 0,
			site.Limits.DialTimeoutMicros},
		rangeCheck{prefix + ".ceilings.keepalive_us", site.Limits.KeepAliveMicros < 0, site.Limits.KeepAliveMicros},
		rangeCheck{prefix + ".ceilings.max_open", site.Limits.MaxOpenRequests < 0, site.Limits.MaxOpenRequests},
		rangeCheck{prefix + ".ceilings.send_cap", site.Limits.MaxAttempts < 0, site.Limits.MaxAttempts},
		rangeCheck{prefix + ".classes", len(site.Classes) == 0, "none"},
		rangeCheck{prefix + ".rules.cold_from", minCapacity < 0 || minCapacity > 1, minCapacity},
		rangeCheck{prefix + ".rules.drain_grace_us", site.Servers.DrainGraceMicros < 0, site.Servers.DrainGraceMicros},
		rangeCheck{prefix + ".rules.left_margin_us", site.Servers.TimeoutUncertaintyMicros < 0,
			site.Servers.TimeoutUncertaintyMicros},
		rangeCheck{prefix + ".rules.start_error_us", site.Servers.StartTimeUncertaintyMicros < 0,
			site.Servers.StartTimeUncertaintyMicros},
		rangeCheck{prefix + ".tick_us", site.TickIntervalMicros < 0, site.TickIntervalMicros},
		rangeCheck{prefix + ".prices.cross_zone", site.Prices.CrossZone < 0, site.Prices.CrossZone},
	)
	faults.addUnlisted(prefix+".weight_kind", site.WeightKind, []string{"none", "nominal", "rough", "live"})
	faults.addUnlisted(prefix+".report.via", site.Report.Via, []string{"none", "probe", "answers"})
	for i, class := range site.Classes {
		key := fmt.Sprintf("%s.classes[%d]", prefix, i)
		if class.Name == "" {
			faults.addMissing(key + ".name")
		}
		if class.ConnectObjectiveMicros < 0 {
			faults.add(key+".aim_us", "%d is negative", class.ConnectObjectiveMicros)
		}
	}
}
