// Package control agrees on who serves what: the replicated state machine with
// the document, the hosts, the databases and the ownership of targets; the
// leader's decisions; and the service with its client.
//
// A command that the leader has decided on is checked again when it is applied,
// because entries that were recorded in between may have changed its grounds.
// What is safe is therefore decided by the log and by the leases; the leader's
// decisions only determine when something happens.
package control
