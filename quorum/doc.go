// Package quorum is a replicated log: a group of members agrees on a sequence of
// commands and applies them to a state machine on every member.
//
// Core implements Raft: leader election with pre-vote and check-quorum,
// replication, snapshots, confirmation of leadership for reads, and membership
// changes of one voter at a time. It has no goroutines, no clock and no I/O. Step
// takes the time and events and returns Effects; the state in Effects must be
// synced to disk before any of its messages is sent or any of its answers is
// given. Node runs a Core with a bbolt file, a Transport and the real clock.
//
// # Identity
//
// Every data folder has a random identity, and the membership in the log records
// the identity of each member. Votes and acknowledgements with an identity other
// than the recorded one are not counted. A member that restarts with an empty
// folder therefore counts for no majority until committed entries have readmitted
// it as a learner and then as a voter. The leader starts this readmission
// automatically when it receives a message from an empty folder under the name of
// a recorded member.
//
// # Bootstrapping
//
// All initial members start with the same list of names and Bootstrap set. The
// member whose name sorts first founds the group, and only after every other
// member has confirmed, in reply to the founder's current identity, that its own
// folder is empty. The founder writes the identities and a random group identity
// to a founding record, syncs it and sends it to the others. A folder accepts only
// one founding record, only while it is empty and only if the record holds its
// identity. Its member cannot vote before it has synced the record.
//
// Bootstrap may stay set afterwards: an initial member that has kept its folder
// does not report it as empty, so no second group is founded. Two founding records
// cannot both be accepted by a majority because each member accepts only one. A
// member with an empty folder that joins a running group has no group identity,
// grants no votes and starts no election; it gets its state from the leader's
// snapshot.
package quorum
