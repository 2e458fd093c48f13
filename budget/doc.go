// Package budget divides limits among the nodes of a group, so that together the nodes never use more units than a
// limit allows in any window, or at the same time for a concurrency limit. It manages reservations, delegations, grants
// and leases. It does no I/O and reads no clock: callers pass the time of their own monotonic clock, deliver the
// messages and call Tick. docs/budgets.md describes the protocol and proves it.
//
// Each member of a group has a reservation, a fixed share of each limit. It delegates the unneeded part of its
// reservation to the leader that it follows. The part of a limit that is not reserved to any member is granted by the
// leader that has a quorum. A leader grants units of both parts, each unit for one use within a short lease term. A
// unit has effect as long as its use may count in a window. Safety does not depend on failure detection: the leader
// counts on a delegation for a shorter time than the delegating member refrains from using it.
//
// A Member runs on a node and has two roles, follower and leader. A Parent runs on a control machine: it is a member of
// the group that the control machines form, and the leader of the nodes below it, its children.
package budget
