package event

import "github.com/sirupsen/logrus"

// The events of the replicated log, 1000 to 1999.
var (
	QuorumOpened = register(1000, "quorum-opened", logrus.InfoLevel,
		"The replicated log was opened; the fields name the folder's identity, the term and the last index.")
	QuorumFolderEmpty = register(1001, "quorum-folder-empty", logrus.WarnLevel,
		"The data folder belongs to no group yet; this member does not vote until the group is founded or readmits it.")
	QuorumRole = register(1002, "quorum-role", logrus.InfoLevel,
		"This member's role, the term or the known leader changed.")
	QuorumMembership = register(1003, "quorum-membership", logrus.InfoLevel,
		"The membership in force on this member changed.")
	QuorumSnapshotInstalled = register(1004, "quorum-snapshot-installed", logrus.InfoLevel,
		"A snapshot of the leader replaced this member's log, because the member was far behind.")
	QuorumSnapshotTaken = register(1005, "quorum-snapshot-taken", logrus.DebugLevel,
		"The state was saved as a snapshot and the log before it was compacted.")
	QuorumIdentity = register(1006, "quorum-identity", logrus.WarnLevel,
		"A member uses another data folder than the recorded one; it counts for nothing until it is readmitted.")
	QuorumStorageFailed = register(1007, "quorum-storage-failed", logrus.ErrorLevel,
		"A write to the data folder failed; this member has stopped and must be restarted after the fault is removed.")
	QuorumSnapshotFailed = register(1008, "quorum-snapshot-failed", logrus.ErrorLevel,
		"The state machine could not make a snapshot; the log keeps growing until one succeeds.")
	QuorumMessagesDropped = register(1009, "quorum-messages-dropped", logrus.WarnLevel,
		"Received messages were dropped because the member could not keep up; the group repeats them.")
)
