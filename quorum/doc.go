// Package quorum is a replicated log: a group of members agrees on a sequence of
// commands and applies them to a state machine on every member.
//
// Core holds the algorithm: leader election with pre-vote and check-quorum,
// replication, snapshots, confirmation of leadership for reads, and membership
// changed one voter at a time. It has no goroutines, no clock and no I/O. Step
// takes the time and events and returns Effects; what is in Effects must be
// synced to disk before any of its messages is sent or any of its answers is
// given. Node drives a Core with a bbolt file, a Transport and the real clock.
//
// # Identity
//
// Every data folder has a random identity, and the membership in the log records
// the identity of each member. Votes and acknowledgements that come with another
// identity than the recorded one are not counted. A member that returns with an
// empty folder therefore counts for nothing until committed entries have
// readmitted it as a learner and then as a voter. The leader starts this
// readmission on its own when it hears from an empty folder under the name of a
// recorded member.
//
// # Bootstrapping
//
// All initial members start with the same list of names and Bootstrap set. The
// member whose name sorts first founds the group, and only after every other
// member has told it, in answer to the founder's present identity, that its own
// folder is empty. The founder records the identities and a random group
// identity, syncs them and offers them to the others. A member accepts one
// founding record in its life, only while its folder is empty and only if the
// record names its identity, and it cannot vote before it has synced the record.
//
// Bootstrap may stay set afterwards: as long as one initial member has kept its
// folder, it does not say that it is empty, so no second group is founded, and
// two founding records can never both gather a majority because each member
// accepts only one. An empty folder that joins a running group has no group
// identity, grants no votes and starts no election; it gets its state from the
// leader's snapshot.
package quorum
