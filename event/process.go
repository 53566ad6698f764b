package event

import "github.com/sirupsen/logrus"

// The events of a process as a whole, 100 to 999.
var (
	ProcessStarted = register(100, "process-started", logrus.InfoLevel,
		"A process has started and listens on the addresses named.")
	ProcessStopping = register(101, "process-stopping", logrus.InfoLevel,
		"A process has been asked to stop and finishes the work in flight.")
	ProcessStopped = register(102, "process-stopped", logrus.InfoLevel,
		"A process has finished its work and exits.")
	WithoutTLS = register(103, "without-tls", logrus.WarnLevel,
		"A listener runs without TLS; anybody on the network can read its traffic.")
	TraceFailed = register(104, "trace-failed", logrus.ErrorLevel,
		"The trace file could not be written; the process goes on without a trace.")
	CertificateFailed = register(105, "certificate-failed", logrus.ErrorLevel,
		"Changed TLS files could not be read; the process goes on with those that it has.")
	SettingsReloaded = register(106, "settings-reloaded", logrus.InfoLevel,
		"The settings were read again; what may change while the process runs is in force.")
	SettingsRefused = register(107, "settings-refused", logrus.WarnLevel,
		"The settings were read again and have faults; the process goes on with those that it has.")
	WorkPanicked = register(108, "work-panicked", logrus.ErrorLevel,
		"A fault of the program ended one piece of work, which the field work names; report it with the stack.")
	DutyGivenUp = register(109, "duty-given-up", logrus.ErrorLevel,
		"A duty of the process failed again and again; the process ends, so that it is started anew.")
	HTTPCutOff = register(111, "http-cut-off", logrus.InfoLevel,
		"A stopping process closed HTTP connections that had not ended; mostly they had sent nothing.")
	RelayCutOff = register(110, "relay-cut-off", logrus.WarnLevel,
		"A stopping host closed the connections of other hosts while work of theirs had not ended.")
)
