package event

import "github.com/sirupsen/logrus"

// The events of a stand-in target, 9000 to 9999.
var (
	StandinStarted = register(9000, "standin-started", logrus.InfoLevel,
		"A stand-in target has started and listens on the address named.")
	StandinStopped = register(9001, "standin-stopped", logrus.InfoLevel,
		"A stand-in target has stopped; its data is gone.")
	StandinRole = register(9002, "standin-role", logrus.InfoLevel,
		"A stand-in target was fenced, was promoted or follows another target.")
	StandinRebuilt = register(9003, "standin-rebuilt", logrus.WarnLevel,
		"The log of a stand-in target differed from its primary's; the target was rebuilt from the primary's log.")
	StandinApplyFailed = register(9004, "standin-apply-failed", logrus.ErrorLevel,
		"A stand-in target could not apply an entry of its primary's log; it tries again.")
)
