package budget

// fault selects a deliberate defect of a member or a Parent. Tests inject faults to show that the model checks detect
// them. It is 0 outside tests.
type fault int

const (
	// faultNoRecoveryDelay lets a restarted member use its reservations at once.
	faultNoRecoveryDelay fault = 1 + iota
	// faultTermFromResponse starts the lease term of grants when the response arrives.
	faultTermFromResponse
	// faultTermByLeaderClock starts the lease term of grants at the LeaderClock, without converting it to the member's
	// clock.
	faultTermByLeaderClock
	// faultTermFromLeaderSend starts the lease term of grants at the LeaderClock, converted to the member's clock.
	faultTermFromLeaderSend
	// faultUsedUnitsDelegated lets a member delegate units that it has used in the window.
	faultUsedUnitsDelegated
	// faultFailureDetectorTrusted lets a leader ignore the grants of followers that seem to have failed.
	faultFailureDetectorTrusted
	// faultRepeatedResponsesAccepted lets a member handle a duplicated response again.
	faultRepeatedResponsesAccepted
	// faultTwoLeadersFollowed lets a member delegate to another leader before its delegations have ended.
	faultTwoLeadersFollowed
	// faultUnlistedDelegationsForgotten lets a member use the reservations of new accounts of rules though they are
	// delegated.
	faultUnlistedDelegationsForgotten
	// faultNoRecoveryDelayOfUndelegated lets a restarted member use at once the reservations that are never
	// delegated.
	faultNoRecoveryDelayOfUndelegated
	// faultLateConcurrencyGrantsAccepted lets a member accept the concurrency leases of a late response.
	faultLateConcurrencyGrantsAccepted
	// faultNoConcurrencyTakeoverDelay lets a new leader lease before the concurrency leases of its predecessor
	// have expired.
	faultNoConcurrencyTakeoverDelay
	// faultGroupWindowNotExtended makes the window in a Parent's group as short as that of its children.
	faultGroupWindowNotExtended
	// faultGroupUnitsNotAcquired lets a Parent grant units that are available in its group without acquiring them.
	faultGroupUnitsNotAcquired
	// faultReleasedUnitsRegranted lets a Parent grant again the units that children release unused.
	faultReleasedUnitsRegranted
	// faultChildFractionIgnored divides the fraction that is reserved to children in the Parents' group too.
	faultChildFractionIgnored
)
