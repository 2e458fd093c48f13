package node

const (
	defaultFileDescriptors = 1024
	defaultDialTimeoutUS   = 200_000
	defaultKeepAliveUS     = 5_000_000
	defaultGuaranteedShare = 0.5

	maxStopDeadlineMS = 3000 // the platform treats longer deadlines of a class as this
	stopMarginMS      = 600  // the platform kills a process 700 ms after the deadline at the earliest
)

// setDefaults replaces zero values with defaults.
func (c *Config) setDefaults() {
	setDefault(&c.Limits.FileDescriptors, defaultFileDescriptors)
	setDefault(&c.Settings.Limits.DialTimeoutMicros, defaultDialTimeoutUS)
	setDefault(&c.Settings.Limits.KeepAliveMicros, defaultKeepAliveUS)
	for _, timeout := range c.timeouts() {
		setDefault(timeout.value, timeout.defaultValue)
	}
	budgets := &c.Budgets
	// Nodes below control machines have no guaranteed share by default: two processes that use the same index at
	// different control machines go undetected, and each would use the share.
	if len(c.Peers.ControlAddrs) == 0 && c.Peers.ChildListen == "" {
		setDefault(&budgets.GuaranteedShare, defaultGuaranteedShare)
	}
	setDefault(&budgets.ControlGuaranteedShare, defaultGuaranteedShare)
	for _, bounded := range budgets.boundedKeys() {
		setDefault(bounded.value, bounded.defaultValue)
	}
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// boundedKey is a configuration key with its value, its default and its bounds.
type boundedKey struct {
	key                    string
	value                  *int64
	defaultValue, min, max int64
}

// timeouts returns the keys of the section "times"; their only bound is that they are not negative.
func (c *Config) timeouts() []boundedKey {
	t := &c.Timeouts
	return []boundedKey{
		{key: "first_line_ms", value: &t.FirstLineMS, defaultValue: 2000},
		{key: "probe_ms", value: &t.HealthCheckMS, defaultValue: 300},
		{key: "watch_ms", value: &t.WatchSilenceMS, defaultValue: 2300},
		{key: "silence_ms", value: &t.ResponseSilenceMS, defaultValue: 3000},
		{key: "notice_ms", value: &t.LateNoticeMS, defaultValue: 1000},
		{key: "linger_ms", value: &t.CloseMS, defaultValue: 500},
		{key: "drain_ms", value: &t.ServerDrainMS, defaultValue: 1000},
		{key: "accept_ms", value: &t.AcceptAfterStopMS, defaultValue: 500},
		{key: "stop_ms", value: &t.StopMS, defaultValue: c.defaultStopMS()},
		{key: "empty_ms", value: &t.OutOfServiceMS, defaultValue: 3000},
	}
}

// boundedKeys returns the keys of the section "budgets" that have bounds.
func (b *Budgets) boundedKeys() []boundedKey {
	return []boundedKey{
		{"open_lease_ms", &b.OpenLeaseMS, 30_000, 5_000, 600_000},
		{"child_term_ms", &b.ChildLeaseTermMS, 250, 50, 10_000},
		{"term_ms", &b.LeaseTermMS, 1000, 50, 10_000},
		{"beat_ms", &b.HeartbeatMS, 400, 20, 10_000},
		{"drift_ppm", &b.MaxClockDriftPPM, 1000, 1, 50_000},
	}
}

// defaultStopMS returns a limit that covers the longest request deadline of any class.
func (c *Config) defaultStopMS() int64 {
	const microsecondsPerMillisecond = 1000
	longestMS := int64(0)
	for _, class := range c.Settings.Classes {
		longestMS = max(longestMS, class.MaxTimeoutMicros/microsecondsPerMillisecond)
	}
	if longestMS == 0 || longestMS > maxStopDeadlineMS {
		longestMS = maxStopDeadlineMS
	}
	return longestMS + stopMarginMS
}
