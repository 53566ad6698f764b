package event

import "github.com/sirupsen/logrus"

// The events of package pool, 13000 to 13999.
var (
	AnswerUnexpected = register(13000, "answer-unexpected", logrus.InfoLevel,
		"A target sent an answer that is not, or may not be, that to the request that waits for one; the reason says what shows it.")
	AnswerMalformed = register(13001, "answer-malformed", logrus.WarnLevel,
		"A target sent bytes that are no answer; its connection is closed, and the outcome of the request is unknown.")
)
