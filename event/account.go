package event

import "github.com/sirupsen/logrus"

// The events of package account, 14000 to 14999.
var (
	LimitSharesGained = register(14000, "limit-shares-gained", logrus.InfoLevel,
		"Shares of accounts' limits that came to this host lately were used for the first time; they started empty. The count is that of 5 seconds.")
	LimitSharesLost = register(14001, "limit-shares-lost", logrus.InfoLevel,
		"Shares of accounts' limits that this host served went to other hosts. The count is that of 5 seconds.")
	LimitAdministratorSilent = register(14002, "limit-administrator-silent", logrus.WarnLevel,
		"Hosts that administer shares of limits did not answer in time; the other share of each limit is used. The count is that of 5 seconds.")
)
