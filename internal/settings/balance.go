package settings

import "brassmux/balance"

// Settings without an entry map to the zero value, which is the strictest one.
var (
	idempotencies = map[string]balance.Idempotency{
		IdempotentAlways: balance.Idempotent,
		IdempotentByKey:  balance.IdempotentByKey,
	}
	keyScopes = map[string]balance.KeyScope{
		ScopeZone: balance.KeyScopeZone,
		ScopeAll:  balance.KeyScopeAll,
	}
)

// Cores per unit of server weight, for weights that are numbers of cores and for relative weights.
const (
	coresPerNominalWeight = 1
	coresPerOtherWeight   = 2
)

// BalanceConfig returns the configuration of package balance.
func (s *Site) BalanceConfig() balance.Config {
	// A health check is useful only for the load report that it returns.
	healthChecks := s.Limits.HealthChecksAllowed && s.Report.Via != ReportNone
	config := balance.Config{
		NodeCount:            s.NodeCount,
		NodeIndex:            s.NodeIndex,
		Classes:              map[string]balance.Class{},
		EndpointsPushed:      s.MembershipMode == MembershipPushed,
		Zone:                 s.Zone,
		CrossZoneCost:        s.Prices.CrossZone,
		CoresPerWeight:       s.coresPerWeight(),
		LateMessagesReported: s.Workload.LateMessagesReported,
		MaxAttempts:          s.Limits.MaxAttempts,
		HealthChecksAllowed:  healthChecks,
		// Without load reports a health check still shows whether a server accepts clients.
		ReadinessChecksAllowed: s.Limits.HealthChecksAllowed,
		MaxOpenRequests:        s.Limits.MaxOpenRequests,
		TickInterval:           Microseconds(s.TickIntervalMicros),
		SlowStartMinCapacity:   s.Servers.SlowStartMinCapacity,
		SlowStartWindow:        Microseconds(s.Servers.SlowStartWindowMicros),
		OverloadFactor:         s.Servers.OverloadFactor,
		OverloadWindow:         Microseconds(s.Servers.OverloadWindowMicros),
		TimeoutUncertainty:     Microseconds(max(s.Servers.TimeoutUncertaintyMicros, 0)),
		KeepUnlistedServers:    s.Servers.KeepUnlistedServers,
		StartTimeUncertainty:   Microseconds(max(s.Servers.StartTimeUncertaintyMicros, 0)),
		// Gossip is a substitute for load reports: servers measure their load more accurately than the sums that nodes
		// exchange.
		GossipEnabled: s.Limits.GossipAllowed && s.Workload.ConnectionLoadReported && !healthChecks,
	}
	if s.Limits.RetryAfterAllowed {
		config.MaxRetryAfter = Microseconds(s.Limits.MaxRetryAfterMicros)
	}
	for _, quota := range s.Workload.ConnectionQuotas {
		config.ConnectionCapacity += max(quota, 0)
	}
	// Connect objectives are needed only with gossip or timeout uncertainty. Otherwise, the balancer estimates the
	// duration of attempts from earlier ones.
	useObjectives := config.GossipEnabled || config.TimeoutUncertainty > 0
	for i, class := range s.Classes {
		config.Classes[class.Name] = s.balanceClass(i, useObjectives)
	}
	return config
}

// coresPerWeight returns the number of cores per unit of server weight.
func (s *Site) coresPerWeight() float64 {
	if s.WeightKind == WeightNominal || s.WeightKind == WeightRough {
		return coresPerNominalWeight
	}
	return coresPerOtherWeight
}

// balanceClass converts the class at the given index. It includes the connect objective only if useObjective is set.
func (s *Site) balanceClass(index int, useObjective bool) balance.Class {
	class := &s.Classes[index]
	result := balance.Class{
		Idempotency: idempotencies[class.Idempotency],
		KeyScope:    keyScopes[class.KeyScope],
		KeyWindow:   Microseconds(class.KeyWindowMicros),
		MaxTimeout:  Microseconds(max(class.MaxTimeoutMicros, 0)),
	}
	if useObjective {
		result.ConnectObjective = Microseconds(class.ConnectObjectiveMicros)
	}
	if objectives := s.Workload.MessageObjectivesMicros; index < len(objectives) {
		result.MessageObjective = Microseconds(int64(objectives[index]))
	}
	return result
}
