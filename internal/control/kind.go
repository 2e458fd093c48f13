package control

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of quota that the nodes share.
type Kind uint8

// The kinds, as they stand in messages between nodes. All but SlowStart and OpenConnections are rate limits, of so many
// units in any second.
const (
	SlowStart       Kind = 1 + iota // attempts at each server in slow start
	Retries                         // of requests
	ListCalls                       // calls for the endpoint list
	HealthChecks                    // of each server
	Connects                        // new connections to each server
	Moves                           // connections moved off each server to rebalance
	Opens                           // new connections of each customer
	OpenConnections                 // a concurrency limit: connections of each customer at once
	kindCount
)

// configKeys are the keys of limits in the configuration, below "budgets".
var configKeys = [kindCount]string{
	Retries:         "retries_per_s",
	ListCalls:       "list_calls_per_s",
	HealthChecks:    "probes_per_s",
	Connects:        "connects_per_s",
	Moves:           "moves_per_s",
	Opens:           "opens_per_s",
	OpenConnections: "open_per_customer",
}

// ConfigKey is the key of a limit of this kind in the configuration, below "budgets"; "" for SlowStart, whose limits
// follow from the settings of servers.
func (k Kind) ConfigKey() string { return configKeys[k] }

// rejectedCounter is the name of the counter of acquisitions that failed for want of units.
func (k Kind) rejectedCounter() string {
	return "budget_" + strings.TrimSuffix(configKeys[k], "_per_s") + "_refused"
}

// isRateLimit reports whether a kind limits the units in any second.
func (k Kind) isRateLimit() bool { return configKeys[k] != "" && k != OpenConnections }

// rateWindow is the window of all rate limits.
const rateWindow = time.Second

// Limit is how many units of a kind all nodes together may use, for each server or customer where each has a quota of
// its own. 0 units is no limit.
type Limit struct {
	Kind  Kind
	Units int
}

// The errors of RateLimitKind.
var (
	ErrUnknownRate     = errors.New("no rate limit has this name")
	ErrNoLimit         = errors.New("no bound is configured")
	ErrLeasingDisabled = errors.New("the nodes lease no quotas from one another")
)

// RateLimitKind returns the kind of a rate limit by its configuration key, such as "retries_per_s". It fails with
// ErrUnknownRate, ErrNoLimit or ErrLeasingDisabled, wrapped with the key. It is safe for concurrent use.
func (m *Manager) RateLimitKind(key string) (Kind, error) {
	if m == nil {
		return 0, fmt.Errorf("budgets.%s: %w", key, ErrLeasingDisabled)
	}
	kind := Kind(max(slices.Index(configKeys[:], key), 0))
	if !kind.isRateLimit() {
		return 0, fmt.Errorf("budgets.%s: %w", key, ErrUnknownRate)
	}
	if !m.limited[kind] {
		return 0, fmt.Errorf("budgets.%s: %w", key, ErrNoLimit)
	}
	return kind, nil
}
