// Package control implements the control group: the replicated state machine with the
// document, the hosts, the databases and the ownership of targets; the leader's
// decisions; and the service with its client.
//
// The preconditions of a command are checked again when it is applied, because
// entries that were committed in between may have invalidated the leader's
// decision. Safety therefore depends on the log and the leases only; the leader's
// decisions determine when something happens.
package control
