package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"brassmux/balance"
	"brassmux/internal/control"
	"brassmux/internal/discovery"
)

// The limits of waiting for the quota of calls to the discovery service.
const (
	listCallWait       = time.Second            // for a unit of the quota
	listCallRetryDelay = 500 * time.Millisecond // the mean delay of the next try after that, which is randomized
)

var errDiscoverySilent = errors.New("no data from the discovery service")

// watch is one call to the discovery service, which returns the endpoint list and then its changes.
type watch struct {
	addr         string
	sinceVersion int64 // only later changes are requested
	openedAt     time.Time
	hasData      bool
	confirmedAt  time.Time // when it last delivered a list or a heartbeat; zero before the first one
	isBroken     bool      // its end or silence has been handled
	cancel       context.CancelFunc
	clockLead    atomic.Pointer[time.Duration] // over the service's clock, by the Date header of the response
}

func (w *watch) stop() {
	if w != nil {
		w.cancel()
	}
}

// subscribe opens a watch of the changes after the current version, unless one is open. Each watch that is not replaced
// ends in one call of onWatchBroken.
func (l *loop) subscribe() {
	if l.isWatching {
		return
	}
	l.isWatching = true
	l.watchAttempts++
	attempt := l.watchAttempts
	l.control.Acquire(control.ListCalls, 0, listCallWait, func(ok bool) {
		if attempt != l.watchAttempts { // the discovery address has changed in the meantime
			return
		} else if ok {
			l.openWatch()
			return
		}
		time.AfterFunc(listCallRetryDelay/2+rand.N(listCallRetryDelay), func() {
			l.post(func() {
				if attempt == l.watchAttempts {
					l.isWatching = false
					l.subscribe()
					l.control.SendRequests()
				}
			})
		})
	})
}

// openWatch opens a watch. The previous watch, if it has received data, stays open until the new one receives data: the
// discovery service counts everything that it has written as received by this node, so it must be read.
func (l *loop) openWatch() {
	ctx, cancel := context.WithCancel(l.ctx)
	w := &watch{addr: l.discoveryAddr, sinceVersion: l.listVersion, openedAt: time.Now(), cancel: cancel}
	deadline := l.control.SendDeadline(control.ListCalls)
	if l.previousWatch == nil {
		l.previousWatch = l.currentWatch
	} else {
		l.currentWatch.stop() // it has received no data
	}
	l.currentWatch = w
	post := func(event func()) {
		l.post(func() {
			if w == l.currentWatch || w == l.previousWatch { // otherwise it has been replaced
				event()
			}
		})
	}
	handler := discovery.WatchHandler{
		OnEvent: func(list *discovery.EndpointList) {
			receivedAt := time.Now()
			post(func() {
				l.onWatchEvent(w, list, receivedAt)
			})
		},
		OnAlive: func() { post(func() { l.onWatchAlive(w) }) },
		OnHeartbeat: func() {
			receivedAt := time.Now()
			post(func() { l.onWatchHeartbeat(w, receivedAt) })
		},
		OnDelay:   func(begunAt time.Time) { post(func() { l.onListDelayed(w, begunAt) }) },
		OnSilence: func() { post(func() { l.onWatchBroken(w, errDiscoverySilent) }) },
		OnDate: func(date, requestedAt, respondedAt time.Time) {
			lead := l.leadOver(date, requestedAt, respondedAt)
			w.clockLead.Store(&lead)
		},
	}
	go func() {
		err := l.discovery.Watch(ctx, w.addr, w.sinceVersion, deadline, handler)
		cancel()
		post(func() {
			l.onWatchBroken(w, err)
			if w == l.previousWatch {
				l.previousWatch = nil
			}
		})
	}()
}

// onWatchAlive handles the first data of any kind. It closes the previous watch if that is of the same service, since
// this watch receives all further events. A watch of another service stays open until the first list of this one.
func (l *loop) onWatchAlive(w *watch) {
	w.hasData = true
	l.checkWallClock()
	if lead := w.clockLead.Load(); lead != nil {
		l.onClockLead(*lead, true)
	}
	if w == l.currentWatch && l.previousWatch != nil && l.previousWatch.addr == w.addr {
		l.closePreviousWatch()
	}
}

// onWatchHeartbeat handles an empty line. The first one confirms the current version to the balancer, because no
// event follows as long as the list does not change.
func (l *loop) onWatchHeartbeat(w *watch, receivedAt time.Time) {
	isFirst := w.confirmedAt.IsZero()
	w.confirmedAt = receivedAt
	if w != l.currentWatch || w.addr != l.discoveryAddr {
		return
	}
	if l.listVersion > 0 {
		l.listConfirmedAt = receivedAt
	}
	if isFirst && w.sinceVersion > 0 {
		l.handle(balance.EndpointUpdate{Kind: balance.ListDelta})
	}
}

// onListDelayed handles a list or a set of changes that arrives slowly. Until it is complete, changes are missing from
// the list at hand.
func (l *loop) onListDelayed(w *watch, begunAt time.Time) {
	if w.addr != l.discoveryAddr {
		return
	}
	update := balance.EndpointUpdate{Kind: balance.ListDelayed, WatchedUntil: l.timeAt(begunAt)}
	if !l.listConfirmedAt.IsZero() {
		update.ConfirmedAt = l.timeAt(l.listConfirmedAt)
	}
	l.handle(update)
	l.log.Info("endpoint list delayed", zap.String("discovery", w.addr), zap.Int64("version", l.listVersion),
		zap.Duration("list_age", l.balancer.ListAge(l.now())))
}

// closePreviousWatch closes the previous watch, if any.
func (l *loop) closePreviousWatch() {
	l.previousWatch.stop()
	l.previousWatch = nil
}

// onWatchEvent applies an event of a watch. A new watch may repeat events that the previous watch of the same service
// received after the new one was opened. Those have an older version and are dropped, because they could undo a drain.
func (l *loop) onWatchEvent(w *watch, list *discovery.EndpointList, receivedAt time.Time) {
	w.confirmedAt = receivedAt
	if w == l.currentWatch {
		l.closePreviousWatch()
	}
	switch {
	case w.addr != l.discoveryAddr:
		// The versions of the former service are not comparable, and its list may be out of date: it is only used to
		// drain or remove servers.
		list.Full = false
		list.Servers = slices.DeleteFunc(list.Servers, func(server discovery.Endpoint) bool {
			return server.State == serverUp
		})
	case list.Version < l.listVersion && w.sinceVersion < l.listVersion:
		return
	default:
		l.listVersion, l.listConfirmedAt = list.Version, receivedAt
	}
	l.checkWallClock()
	l.applyEndpointList(list, w.addr != l.discoveryAddr)
	if l.logsEndpointLists {
		l.log.Info("list in force", zap.Int64("version", list.Version))
	}
}

// onWatchBroken handles the end or silence of a watch, once per watch, and makes the balancer request another one.
func (l *loop) onWatchBroken(w *watch, err error) {
	if w.isBroken || w != l.currentWatch {
		return
	}
	w.isBroken, l.isWatching = true, false
	if !l.endpointsPushed { // pushed changes count as received once the watch recovers, so it must stay open
		w.stop()
	}
	elapsed := time.Since(w.openedAt)
	kind := balance.WatchFailed // retry with a delay, because the service may end every call soon
	if w.hasData && elapsed >= l.discovery.SilenceTimeout {
		kind = balance.WatchBroken
	}
	if dialError := (&net.OpError{}); w.hasData || errors.As(err, &dialError) && dialError.Op == "dial" {
		elapsed = 0 // the service did not delay the call
	}
	update := balance.EndpointUpdate{Kind: kind, ServiceWait: elapsed, DataReceived: w.hasData,
		Silent: errors.Is(err, errDiscoverySilent)}
	if !l.listConfirmedAt.IsZero() {
		update.ConfirmedAt = l.timeAt(l.listConfirmedAt)
	}
	l.handle(update)
	l.logBrokenWatch(w, err)
}

// logBrokenWatch logs the end or silence of a watch with the age of its call and of its last list or heartbeat.
// Together they tell a service that cannot be reached or rejects calls at once from one that keeps calls waiting and
// from a silent watch. The age of the list is the one by which requests are placed from now on.
func (l *loop) logBrokenWatch(w *watch, err error) {
	fields := []zap.Field{zap.String("discovery", w.addr), zap.Error(err), zap.Int64("version", l.listVersion),
		zap.Duration("call_age", time.Since(w.openedAt)), zap.Duration("list_age", l.balancer.ListAge(l.now()))}
	if !w.confirmedAt.IsZero() {
		fields = append(fields, zap.Duration("confirmed_ago", time.Since(w.confirmedAt)))
	}
	l.log.Warn("endpoint watch broken", fields...)
}

// onDiscoveryChanged switches to another discovery service and requests its complete list. It does so at once, because
// the next retry of the balancer may be seconds away.
func (l *loop) onDiscoveryChanged(addr string) {
	if addr == l.discoveryAddr {
		return
	}
	l.log.Info("discovery address changed", zap.String("discovery", addr))
	l.discoveryAddr, l.listVersion, l.isWatching = addr, 0, false
	// Failures of the former service must not delay retries.
	l.handle(l.reloadUpdate())
	l.subscribe()
	l.control.SendRequests()
}
