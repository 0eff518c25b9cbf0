package emulator

import (
	"strconv"
	"strings"
)

// poisonSuffix marks the body of a poison request.
const poisonSuffix = "deadly"

// Body returns the body of a call to emulated engines. It carries the number
// of events of the answer, which entry instances can't know beforehand, and a
// label that distinguishes the call.
func Body(events int, label string) []byte {
	return []byte(strconv.Itoa(events) + " " + label)
}

// PoisonBody returns the body of a poison request, which crashes an engine that
// starts to generate its answer.
func PoisonBody(events int, label string) []byte {
	return append(Body(events, label), " "+poisonSuffix...)
}

// parseBody parses a body made by Body or PoisonBody; events is 0 for any other.
func parseBody(b []byte) (events int, poison bool) {
	first, rest, _ := strings.Cut(string(b), " ")
	events, err := strconv.Atoi(first)
	if err != nil {
		return 0, false
	}
	return events, strings.HasSuffix(rest, " "+poisonSuffix)
}
