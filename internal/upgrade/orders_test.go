package upgrade

import "testing"

// Guards against two processes that follow different orders after they have informed each other, and against an earlier
// order that replaces a later one.
func TestMergeOrders(t *testing.T) {
	service := func(revision int64, out bool) Orders { return Orders{Service: ServiceOrder{revision, out}} }
	reload := func(revision int64, discovery string, control ...string) Orders {
		return Orders{Reload: ReloadOrder{revision, discovery, control}}
	}
	for _, test := range []struct{ a, b, want Orders }{
		{service(0, false), service(0, false), service(0, false)},
		{service(1, true), service(0, false), service(1, true)},
		{service(1, true), service(2, false), service(2, false)},
		{service(3, true), service(3, false), service(3, true)},
		{reload(1, "a:1"), reload(0, ""), reload(1, "a:1")},
		{reload(2, "a:1"), reload(1, "b:1"), reload(2, "a:1")},
		{reload(2, "a:1"), reload(2, "b:1"), reload(2, "b:1")},
		{reload(2, "a:1", "c:1"), reload(2, "a:1", "c:2"), reload(2, "a:1", "c:2")},
		{service(1, true), reload(1, "a:1"), Orders{ServiceOrder{1, true}, ReloadOrder{1, "a:1", nil}}},
	} {
		if got := test.a.Merge(test.b); !got.Equal(test.want) {
			t.Errorf("%+v with %+v: %+v", test.a, test.b, got)
		}
		if got := test.b.Merge(test.a); !got.Equal(test.want) {
			t.Errorf("%+v with %+v: %+v", test.b, test.a, got)
		}
	}
}

// Guards against an order that a new process received before it learned of those of its predecessor, and that one of
// those replaces.
func TestRebaseOrders(t *testing.T) {
	predecessor := Orders{ServiceOrder{Revision: 7, OutOfService: true}, ReloadOrder{4, "a:1", []string{"c:1"}}}
	if got := (Orders{}).Rebase(predecessor); !got.Equal(predecessor) {
		t.Errorf("without an order: %+v", got)
	}
	own := Orders{Service: ServiceOrder{Revision: 1}, Reload: ReloadOrder{1, "b:1", nil}}
	got := own.Rebase(predecessor)
	if got.Service.OutOfService || got.Reload.Discovery != "b:1" || !got.Merge(predecessor).Equal(got) {
		t.Errorf("with an order: %+v", got)
	}
}
