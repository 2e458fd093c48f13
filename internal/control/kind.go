package control

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind identifies a kind of quota that the nodes share.
type Kind uint8

// The kinds of quotas, with their values in messages between nodes. All except SlowStart and OpenConnections are rate
// limits, which limit the units used in any second.
const (
	SlowStart       Kind = 1 + iota // attempts at each server in slow start
	Retries                         // of requests
	ListCalls                       // calls for the endpoint list
	HealthChecks                    // of each server
	Connects                        // new connections to each server
	Moves                           // connections moved off each server to rebalance
	Opens                           // new connections of each customer
	OpenConnections                 // concurrent connections of each customer
	kindCount
)

// configKeys are the configuration keys of limits, below "budgets".
var configKeys = [kindCount]string{
	Retries:         "retries_per_s",
	ListCalls:       "list_calls_per_s",
	HealthChecks:    "probes_per_s",
	Connects:        "connects_per_s",
	Moves:           "moves_per_s",
	Opens:           "opens_per_s",
	OpenConnections: "open_per_customer",
}

// ConfigKey returns the configuration key of a limit of this kind, below "budgets". It is "" for SlowStart, whose
// limits are derived from the settings of servers.
func (k Kind) ConfigKey() string { return configKeys[k] }

// rejectedCounter returns the name of the counter of acquisitions that failed because no unit was available.
func (k Kind) rejectedCounter() string {
	return "budget_" + strings.TrimSuffix(configKeys[k], "_per_s") + "_refused"
}

// isRateLimit reports whether a kind limits the units used in any second.
func (k Kind) isRateLimit() bool { return configKeys[k] != "" && k != OpenConnections }

// rateWindow is the window of all rate limits.
const rateWindow = time.Second

// Limit is the maximum number of units of a kind that all nodes together may use. It applies to each server or customer
// separately if each has its own quota.
type Limit struct {
	Kind  Kind
	Units int // 0 for no limit
}

// The errors of RateLimitKind.
var (
	ErrUnknownRate     = errors.New("no rate limit has this name")
	ErrNoLimit         = errors.New("no bound is configured")
	ErrLeasingDisabled = errors.New("leasing of quotas is disabled")
)

// RateLimitKind returns the kind of a rate limit, given its configuration key, such as "retries_per_s". It returns
// ErrUnknownRate, ErrNoLimit or ErrLeasingDisabled wrapped with the key. It is safe for concurrent use.
func (m *Manager) RateLimitKind(key string) (Kind, error) {
	if m == nil {
		return 0, fmt.Errorf("budgets.%s: %w", key, ErrLeasingDisabled)
	}
	kind := Kind(max(slices.Index(configKeys[:], key), 0))
	if !kind.isRateLimit() {
		return 0, fmt.Errorf("budgets.%s: %w", key, ErrUnknownRate)
	}
	if !m.hasLimit[kind] {
		return 0, fmt.Errorf("budgets.%s: %w", key, ErrNoLimit)
	}
	return kind, nil
}
