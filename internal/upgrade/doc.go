// Package upgrade implements the link between the two processes of a node during a live upgrade. The predecessor, which
// serves clients, listens on a Unix socket. The successor, which replaces it, connects to that socket.
//
// The package defines the messages and their encoding, transfers sockets, and checks that both processes belong to the
// same user. Package node decides when to transfer which connections and state.
package upgrade
