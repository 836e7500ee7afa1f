// Package ingress serves HTTP to clients that are not trusted, within bounds on the connections that
// are open and on the memory that unserved requests hold together.
//
// A client can make a server hold the socket and what it has received, the headers as parsed, the body
// as read and what the body is decoded to. Each connection has an Account in a Ledger, which is charged
// before that memory is allocated. If the ledger has no room left, the connections that have kept the
// server waiting for the largest part of the time that they may take are closed. A request that was
// received completely is never closed; if there is no room for it, it is refused.
//
// The Ledger has no sockets and no clock. Server, its listener and its connections connect it to
// net/http.
package ingress
