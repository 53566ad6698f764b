package event

import "github.com/sirupsen/logrus"

// The events of package session, 5000 to 5999.
var (
	GuestOpened = register(5000, "guest-opened", logrus.DebugLevel,
		"A guest has logged in.")
	GuestClosed = register(5001, "guest-closed", logrus.DebugLevel,
		"A guest's connection ended other than by the guest's own message.")
	GuestRefused = register(5002, "guest-refused", logrus.InfoLevel,
		"A connection was refused at startup; the code says why.")
	UnitAnswered = register(5003, "unit-answered", logrus.DebugLevel,
		"A guest got the answer to a request; its attempts were the units from first to number.")
	UnitRetried = register(5004, "unit-retried", logrus.DebugLevel,
		"A request was proved not to have run and is sent again.")
	TransactionLost = register(5005, "transaction-lost", logrus.InfoLevel,
		"The connection that held a guest's open transaction was lost; without COMMIT it is rolled back.")
	ChannelLost = register(5006, "channel-lost", logrus.DebugLevel,
		"A channel to an owner could not be closed; the owner frees what it held.")
	GuestsDraining = register(5007, "guests-draining", logrus.InfoLevel,
		"The host takes no new guests; idle guests are closed and the others finish what is in flight.")
	AcceptFailed = register(5008, "accept-failed", logrus.WarnLevel,
		"A connection could not be accepted; the listener goes on.")
	GuestPanicked = register(5009, "guest-panicked", logrus.ErrorLevel,
		"A fault of the program ended one guest's connection; report it with the stack.")
	GuestsCutOff = register(5010, "guests-cut-off", logrus.WarnLevel,
		"The time of a planned stop is over: requests that still run are given up, and their guests told the outcome as far as it is known.")
)
