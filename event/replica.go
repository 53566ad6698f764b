package event

import "github.com/sirupsen/logrus"

// The events of package replica, 7000 to 7999.
var (
	MarkFailed = register(7000, "mark-failed", logrus.DebugLevel,
		"A question for guests' marks failed; the reads that waited for it go to the primary.")
)
