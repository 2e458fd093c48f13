package node

import (
	"go.uber.org/zap"

	"brassmux/balance"
)

// traceEvent logs an event of the balancer at debug level.
func (l *loop) traceEvent(event balance.Event) {
	switch event := event.(type) {
	case balance.EndpointUpdate:
		l.log.Debug("endpoint update", zap.Int("kind", int(event.Kind)), zap.Int("servers", len(event.Servers)),
			zap.Int64("version", l.listVersion))
	case balance.Request:
		l.log.Debug("request", requestField(event.ID), zap.String("key", event.ClientKey),
			zap.String("group", event.Group), zap.Bool("reconnect", event.Reconnect),
			zap.Duration("timeout", event.Timeout))
	case balance.AttemptAccepted:
		l.log.Debug("attempt accepted", requestField(event.ID), l.serverField(event.Server),
			zap.Duration("elapsed", event.Elapsed))
	case balance.AttemptEnded:
		l.log.Debug("attempt ended", requestField(event.ID), l.serverField(event.Server),
			zap.Int("attempt", event.Attempt), zap.String("outcome", outcomeNames[event.Outcome]),
			zap.Duration("elapsed", event.Elapsed), zap.Bool("final", event.Final))
	case balance.HealthCheckResult:
		load := -1.0
		if event.Report != nil {
			load = event.Report.Utilisation
		}
		l.log.Debug("health check result", l.serverField(event.Server),
			zap.String("outcome", outcomeNames[event.Outcome]), zap.Float64("load", load),
			zap.Duration("elapsed", event.Elapsed))
	case balance.LateMessage:
		l.log.Debug("late messages", l.serverField(event.Server), zap.Duration("latency", event.Latency))
	}
}

// traceAction logs an action of the balancer at debug level.
func (l *loop) traceAction(action balance.Action) {
	switch action := action.(type) {
	case balance.Attempt:
		l.log.Debug("attempt", requestField(action.ID), l.serverField(action.Server),
			zap.Duration("timeout", action.Timeout))
	case balance.Reject:
		l.log.Debug("reject", requestField(action.ID), zap.String("reason", action.Reason),
			zap.Duration("retry_after", action.RetryAfter))
	case balance.Fail:
		l.log.Debug("fail", requestField(action.ID))
	case balance.Migrate:
		l.log.Debug("migrate", requestField(action.ID))
	case balance.HealthCheck:
		l.log.Debug("health check", l.serverField(action.Server))
	case balance.ListAwaited:
		l.log.Debug("list awaited", requestField(action.ID), zap.Int64("version", l.listVersion))
	case balance.WatchEndpoints:
		l.log.Debug("watch endpoints", zap.Int64("version", l.listVersion))
	}
}

func requestField(id balance.RequestID) zap.Field { return zap.Uint64("request", uint64(id)) }

func (l *loop) serverField(id balance.ServerID) zap.Field {
	return zap.String("server", l.servers[id].Addr)
}
