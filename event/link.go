package event

import "github.com/sirupsen/logrus"

// The events of the statement path between hosts, 6000 to 6999.
var (
	LinkAcceptFailed = register(6000, "link-accept-failed", logrus.WarnLevel,
		"The listener for units of other hosts failed to accept a connection and goes on.")
	LinkChannelBroken = register(6001, "link-channel-broken", logrus.InfoLevel,
		"A channel from another host ended in an error; its open transaction is rolled back.")
	LinkRefused = register(6002, "link-refused", logrus.InfoLevel,
		"A channel from another host could not be opened on this host.")
)
