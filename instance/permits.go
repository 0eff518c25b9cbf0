package instance

import (
	"strconv"
	"strings"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/ratelimit"
)

// permitKey is the key of a target's permits in loans between instances.
func permitKey(b ragworthitch.Boot) string { return strconv.FormatInt(b.Started(), 10) + "/" + b.ID() }

// findLimit returns the rate limit of the target that a key of permitKey names, and the
// target's id; nil: the target is unknown.
func (i *Instance) findLimit(key string) (*ratelimit.Limit, string) {
	startedText, id, _ := strings.Cut(key, "/")
	started, err := strconv.ParseInt(startedText, 10, 64)
	if err != nil {
		return nil, ""
	}
	m := i.targets.Boot(ragworthitch.NewBoot(id, started))
	if m == nil {
		return nil, ""
	}
	return m.RateLimit(), id
}
