package event

import "github.com/sirupsen/logrus"

// The events of the entry role, 3000 to 3999.
var (
	ViewApplied = register(3000, "view-applied", logrus.DebugLevel,
		"An entry host put a new view in force; index is the control log's index.")
	ControlLost = register(3001, "control-lost", logrus.WarnLevel,
		"An entry host cannot follow the control group and goes on under its last view.")
	ControlFound = register(3002, "control-found", logrus.InfoLevel,
		"An entry host follows the control group again.")
	ViewFromPeer = register(3003, "view-from-peer", logrus.InfoLevel,
		"An entry host that cannot reach control took a newer view from a peer of its failure domain.")
	HostRegistered = register(3004, "host-registered", logrus.InfoLevel,
		"The control group recorded this start of the host.")
	LeaseRenewed = register(3005, "lease-renewed", logrus.TraceLevel,
		"The host's lease was renewed.")
	LeaseEnded = register(3006, "lease-ended", logrus.WarnLevel,
		"The host's lease ended before it was renewed; it serves no primary until the next renewal.")
	AnnouncementRefused = register(3007, "announcement-refused", logrus.WarnLevel,
		"A target's announcement was refused; fault says why.")
	ObserveFailed = register(3008, "observe-failed", logrus.DebugLevel,
		"A change of a target could not be reported to control; the next announcement reports it again.")
	DocumentInvalid = register(3009, "document-invalid", logrus.ErrorLevel,
		"A section of the accepted document cannot be read by this host; it uses the valid part.")
	ViewOutdated = register(3010, "view-outdated", logrus.WarnLevel,
		"The host takes no further lease, because the view in force lacks what the leader of control had; age-ms says for how long.")
)
