package budget

import (
	"testing"
	"time"
)

// Accounts of budgets of a rule have to be dropped when none of their units has effect any more. Otherwise a steady
// flow of new budgets would reach maxRuleAccounts, and later budgets would be refused.
func TestIdleRuleAccountsAreDropped(t *testing.T) {
	t.Parallel()
	member := New(Settings{Nodes: 1, GuaranteedFraction: 1, MaxWindow: time.Second, LeaseTerm: time.Second,
		HeartbeatInterval: 400 * time.Millisecond}, 1, 0)
	member.SetRule(5, Rule{Limit: 3, Window: time.Second, NoDelegation: true})
	now := 10 * time.Second
	for i := range maxRuleAccounts + 11 {
		if now += 10 * time.Microsecond; i == maxRuleAccounts+10 {
			now += 3 * time.Second // no unit has effect any more
		}
		ok := member.Acquire(now, ID{Kind: 5, Subject: uint64(i)})
		if ok != (i < maxRuleAccounts || i == maxRuleAccounts+10) {
			t.Fatalf("budget %d: Acquire returned %v", i, ok)
		}
	}
	if len(member.accounts) > 10 {
		t.Errorf("%d accounts left, want at most 10", len(member.accounts))
	}
}
