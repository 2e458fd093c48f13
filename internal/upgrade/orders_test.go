package upgrade

import "testing"

// Guards against two processes that follow different orders after they have informed each other, and against an earlier
// order that replaces a later one.
func TestMergeOrders(t *testing.T) {
	order := func(revision int64, out bool) Orders { return Orders{Service: ServiceOrder{revision, out}} }
	for _, test := range []struct{ a, b, want Orders }{
		{order(0, false), order(0, false), order(0, false)},
		{order(1, true), order(0, false), order(1, true)},
		{order(1, true), order(2, false), order(2, false)},
		{order(3, true), order(3, false), order(3, true)},
	} {
		if got := test.a.Merge(test.b); got != test.want {
			t.Errorf("%+v with %+v: %+v", test.a, test.b, got)
		}
		if got := test.b.Merge(test.a); got != test.want {
			t.Errorf("%+v with %+v: %+v", test.b, test.a, got)
		}
	}
}

// Guards against an order that a new process received before it learned of those of its predecessor, and that one of
// those replaces.
func TestRebaseOrders(t *testing.T) {
	predecessor := Orders{Service: ServiceOrder{Revision: 7, OutOfService: true}}
	if got := (Orders{}).Rebase(predecessor); got != predecessor {
		t.Errorf("without an order: %+v", got)
	}
	own := Orders{Service: ServiceOrder{Revision: 1}}
	if got := own.Rebase(predecessor); got.Service.OutOfService || got.Merge(predecessor) != got {
		t.Errorf("with an order: %+v", got)
	}
}
