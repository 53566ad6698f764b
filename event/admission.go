package event

import "github.com/sirupsen/logrus"

// The events of the queue of one target, 8000 to 8999.
var (
	AdmissionDropped = register(8000, "admission-dropped", logrus.DebugLevel,
		"A target's queue was full; the newest request of the team with the longest queue was dropped and did not run.")
	AdmissionHeld = register(8001, "admission-held", logrus.InfoLevel,
		"New writes to a target wait, or go on, because their commits can or cannot reach a majority of the group.")
	AdmissionDraining = register(8002, "admission-draining", logrus.InfoLevel,
		"A target's queue refuses new work, or takes it again; statements of open transactions run on.")
)
