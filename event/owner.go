package event

import "github.com/sirupsen/logrus"

// The events of the owner of targets, 4000 to 4999.
var (
	TargetTaken = register(4000, "target-taken", logrus.InfoLevel,
		"The host has become the owner of a target and opens connections to it.")
	TargetGivenUp = register(4001, "target-given-up", logrus.InfoLevel,
		"The host no longer owns a target at the epoch named; running units end without acknowledgement of writes.")
	TargetLost = register(4002, "target-lost", logrus.WarnLevel,
		"The target does not answer its owner; nothing runs on it and the control group is told.")
	LostReportFailed = register(4003, "lost-report-failed", logrus.WarnLevel,
		"The control group did not accept the report of a lost target; the report is repeated.")
	TargetLeaving = register(4004, "target-leaving", logrus.InfoLevel,
		"A target is leaving; it gets no new work and running work ends.")
	LeadBegun = register(4010, "lead-begun", logrus.InfoLevel,
		"A target is the primary of the term named and takes writes; the position is the floor of guests' marks.")
	LeadEnded = register(4011, "lead-ended", logrus.InfoLevel,
		"A target is no longer served as the primary of the term named.")
	OrderFailed = register(4012, "order-failed", logrus.WarnLevel,
		"A target did not carry out a promote, follow or table order; the order is repeated.")
	TargetFenced = register(4013, "target-fenced", logrus.InfoLevel,
		"A target refuses entries of terms below the term named.")
	FollowOrdered = register(4014, "follow-ordered", logrus.InfoLevel,
		"A target has been ordered to replicate from the primary of the term named.")
	HandedOver = register(4015, "handed-over", logrus.InfoLevel,
		"The owner has given up a primary for a planned move after its last unit; the successor has the whole log.")
	WritesHeld = register(4020, "writes-held", logrus.WarnLevel,
		"Commits wait too long for a majority; new writes wait in the queue until commits settle again.")
	WritesResumed = register(4021, "writes-resumed", logrus.InfoLevel,
		"Commits settle again and writes run.")
	UnitUnknown = register(4030, "unit-unknown", logrus.WarnLevel,
		"A unit was sent to the target and its outcome could not be established.")
	UnitAcknowledged = register(4031, "unit-acknowledged", logrus.DebugLevel,
		"A unit's answer was passed on after its position settled and the lease was checked.")
	UnitSent = register(4032, "unit-sent", logrus.DebugLevel,
		"A unit was written to a target's connection.")
	MarkAnswered = register(4033, "mark-answered", logrus.DebugLevel,
		"The marks of guests were read and the lease was valid after that.")
	ServedStale = register(4035, "served-stale", logrus.DebugLevel,
		"A read was served by a primary whose owner's lease has ended, as its team allows; it may have seen writes of unknown outcome.")
	KeyRepeated = register(4034, "key-repeated", logrus.InfoLevel,
		"A request with a known idempotency key got the recorded answer.")
	AnswerMismatched = register(4036, "answer-mismatched", logrus.WarnLevel,
		"A target sent what answers no request, or what cannot be its answer; the connection is closed and work on it is not acknowledged.")
	TargetUnreached = register(4040, "target-unreached", logrus.WarnLevel,
		"This host could not reach a target of a direct group, or got no answer; it is passed over for a growing pause.")
	TargetRegained = register(4041, "target-regained", logrus.InfoLevel,
		"This host reaches a target of a direct group again.")
	TargetCapacityLearned = register(4042, "target-capacity-learned", logrus.InfoLevel,
		"This gateway keeps more or fewer statements in flight at a target than before; the fields give the limits and what decided the change.")
)
