package emulator

import (
	"strconv"
	"strings"
)

// deadlyMark ends the body of a call that crashes the engine which runs it.
const deadlyMark = "deadly"

// Body is the body of a call to emulated engines: how many events its answer has,
// which no entry knows beforehand, and what tells it from others.
func Body(events int, about string) []byte {
	return []byte(strconv.Itoa(events) + " " + about)
}

// DeadlyBody is the body of a call that crashes the engine which begins to run it.
func DeadlyBody(events int, about string) []byte {
	return append(Body(events, about), " "+deadlyMark...)
}

// readBody reads a Body; events is 0 if it is none.
func readBody(b []byte) (events int, deadly bool) {
	first, rest, _ := strings.Cut(string(b), " ")
	events, err := strconv.Atoi(first)
	if err != nil {
		return 0, false
	}
	return events, strings.HasSuffix(rest, " "+deadlyMark)
}
