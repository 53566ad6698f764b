package event

import "github.com/sirupsen/logrus"

// The events of package control, 2000 to 2999.
var (
	ControlLeading = register(2000, "control-leading", logrus.InfoLevel,
		"This control process leads the group and makes its decisions.")
	ControlFollowing = register(2001, "control-following", logrus.InfoLevel,
		"This control process no longer leads the group.")
	ControlHostRegistered = register(2002, "control-host-registered", logrus.InfoLevel,
		"An entry host has registered; it gets a lease once it has the view of its registration in force.")
	ControlHostGone = register(2003, "control-host-gone", logrus.WarnLevel,
		"The lease of an entry host has ended; its targets go to other hosts of its failure domain.")
	ControlHostReleased = register(2004, "control-host-released", logrus.InfoLevel,
		"An entry host has given up its lease and its targets, at a planned stop.")
	ControlTargetObserved = register(2005, "control-target-observed", logrus.InfoLevel,
		"A target has announced itself for the first time, with other facts or after it was lost.")
	ControlTargetLost = register(2006, "control-target-lost", logrus.WarnLevel,
		"An owner cannot reach its target, or has drained it for a planned move, and has given up the ownership.")
	ControlTargetsAssigned = register(2007, "control-targets-assigned", logrus.InfoLevel,
		"Targets have a new owner.")
	ControlPromotionOpened = register(2008, "control-promotion-opened", logrus.WarnLevel,
		"A new term without a primary has begun; writes to the database wait until a primary is chosen.")
	ControlPromotionCommitted = register(2009, "control-promotion-committed", logrus.InfoLevel,
		"A primary has been chosen for the term.")
	ControlTargetFenced = register(2010, "control-target-fenced", logrus.InfoLevel,
		"A target refuses writes of lower terms and has told its position.")
	ControlFenceFailed = register(2011, "control-fence-failed", logrus.WarnLevel,
		"A target could not be fenced; the call is repeated until a majority of the group has answered.")
	ControlMoveStarted = register(2012, "control-move-started", logrus.InfoLevel,
		"The owner of a primary has been asked to drain it for a planned move.")
	ControlMoveCancelled = register(2013, "control-move-cancelled", logrus.WarnLevel,
		"A planned move did not end in time, or its successor was lost; the primary stays.")
	ControlSectionApplied = register(2014, "control-section-applied", logrus.InfoLevel,
		"An edit of a team's section has been accepted.")
	ControlSectionRefused = register(2015, "control-section-refused", logrus.WarnLevel,
		"An edit of a team's section has been refused; the answer to the operator gives the reason.")
	ControlWithoutOperators = register(2016, "control-without-operators", logrus.WarnLevel,
		"No operators file is set; every operator is accepted under the name given.")
	ControlProposalFailed = register(2017, "control-proposal-failed", logrus.WarnLevel,
		"A decision of the leader could not be recorded; it is made again from the state at hand.")
	ControlCommandUnreadable = register(2018, "control-command-unreadable", logrus.ErrorLevel,
		"A log entry could not be decoded and changes nothing; a newer version may have written it.")
	ControlStepDropped = register(2019, "control-step-dropped", logrus.DebugLevel,
		"A message to another control process was dropped because the process does not take messages fast enough.")
	ControlTargetRemoved = register(2020, "control-target-removed", logrus.InfoLevel,
		"A target that was leaving has stopped and is no longer part of its group.")
	ControlMembersChanged = register(2021, "control-members-changed", logrus.InfoLevel,
		"An operator has changed the members of the control group.")
	ControlEditionApplied = register(2022, "control-edition-applied", logrus.InfoLevel,
		"An edition of the document has been accepted and is in force from this index on.")
	ControlEditionRefused = register(2023, "control-edition-refused", logrus.WarnLevel,
		"An edition of the document has been refused; the fault says why.")
	ControlTargetEnlisted = register(2024, "control-target-enlisted", logrus.InfoLevel,
		"A target of a direct group has reported itself for the first time or with other facts.")
	ControlPrimarySuspended = register(2025, "control-primary-suspended", logrus.WarnLevel,
		"A primary is out of service so that another target can be promoted; writes to the database wait.")
	ControlCandidateChosen = register(2026, "control-candidate-chosen", logrus.InfoLevel,
		"A target has been chosen to become the primary of its direct group.")
	ControlPrimaryRecorded = register(2027, "control-primary-recorded", logrus.InfoLevel,
		"A target of a direct group is recorded as the primary and takes writes.")
	ControlPrimaryAssessed = register(2028, "control-primary-assessed", logrus.WarnLevel,
		"A primary was assessed after reports that it cannot be reached; the fields give the evidence and the cause.")
	ControlPromoteOrdered = register(2029, "control-promote-ordered", logrus.InfoLevel,
		"The platform was asked to promote a target; without an error it has accepted the order. The fields have the positions that the targets answered and the one that covers all acknowledged commits.")
	ControlPromoteDelayed = register(2030, "control-promote-delayed", logrus.InfoLevel,
		"A promotion waits: for hosts that may still hold a lease under the former primary, for an earlier order that may still take effect, or for a target able to lead that holds all acknowledged commits. The fields have the position required, which targets may hold it and have not answered, and since when it waits.")
	ControlInspectFailed = register(2031, "control-inspect-failed", logrus.DebugLevel,
		"A target did not answer the control group's question for its state.")
	ControlUpkeep = register(2032, "control-upkeep", logrus.InfoLevel,
		"The leader has changed the members of the control group on its own; the reason says why.")
	ControlJoinFailed = register(2033, "control-join-failed", logrus.WarnLevel,
		"This control process is no member of the group and could not be admitted yet; it asks again.")
	ControlReopened = register(2034, "control-reopened", logrus.WarnLevel,
		"The log was opened again after its storage had failed; the process takes part in the group again.")
	ControlReopenFailed = register(2035, "control-reopen-failed", logrus.WarnLevel,
		"The log could not be opened again after its storage had failed; it is tried again.")
	ControlForwardFailed = register(2036, "control-forward-failed", logrus.WarnLevel,
		"Renewals of hosts could not be passed on to the leader; the hosts ask elsewhere.")
	ControlOverloadAssessed = register(2037, "control-overload-assessed", logrus.InfoLevel,
		"The targets of a group that hosts report as overloaded were inspected; the fields give the evidence and whether the primary changes.")
	ControlPrimaryKept = register(2038, "control-primary-kept", logrus.WarnLevel,
		"A primary that is leaving stays in service, because no other target of its group can take over; the fields give the states of the others and for how long it stays.")
	ControlProofRenewed = register(2039, "control-proof-renewed", logrus.InfoLevel,
		"After a change of a group with synchronous replicas or of their number, enough replicas have been seen to hold all acknowledged commits; targets that left before are not needed any more.")
	ControlReportRefused = register(2040, "control-report-refused", logrus.WarnLevel,
		"A report under the name of a target was refused: it cannot be read, or what is recorded or the target at its address contradicts it. It changes nothing. The number of these lines is limited; the metric control-reports counts all.")
	ControlReportConfirmed = register(2041, "control-report-confirmed", logrus.WarnLevel,
		"A report that contradicts what is recorded was found to be of a target that runs, and is recorded; the fields say what it contradicts and how that was found.")
	ControlHolderUnrecorded = register(2042, "control-holder-unrecorded", logrus.WarnLevel,
		"The primary of a group with synchronous replicas has acknowledged commits that no recorded replica has received, so that a target which has not reported itself holds them. A new primary must hold the position given; the record ends when recorded replicas have caught up.")
)
