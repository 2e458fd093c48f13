package fleet

// Names of the counters in a result. They are part of the result format, so they must not change.
const (
	counterRequests             = "requests"
	counterNodeDown             = "node_not_there"
	counterAccepted             = "up"
	counterFailed               = "failed"
	counterMigrated             = "moves"
	counterGoAway               = "sent away"
	counterReset                = "cut off"
	counterAttempts             = "attempts"
	counterFailedAttempts       = "attempts in vain"
	counterHealthChecks         = "probes"
	counterFailedHealthChecks   = "probes in vain"
	counterSlowStartSends       = "sent to cold servers"
	counterUnannouncedOverloads = "fallen unannounced"
	counterWatchCalls           = "list calls"
	counterFailedWatchCalls     = "list calls failed"
	counterBrokenWatches        = "list watches ended"
	counterNodesKilled          = "nodes killed"
	counterMessages             = "words between nodes"
	counterBusiestNodeMessages  = "words of the busiest node"
	counterGuaranteedAttempts   = "budget: of the own part"
	counterLeasedAttempts       = "budget: of grants"
	counterDeniedAttempts       = "budget: none to be had"
	counterExpiredLeases        = "budget: grants lapsed"
	counterLeaderChanges        = "budget: changes of keeper"

	counterRejectedPrefix = "refused: " // followed by the reason of the rejection
)
