package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// urgencyCase is a case of testdata/urgency.yaml.
type urgencyCase struct {
	Name  string
	Calls []struct {
		AtMs      int `yaml:"atMs"`
		Route     string
		Priority  int
		TimeoutMs int `yaml:"timeoutMs"`
		First     bool
	}
}

// Guards against less urgent or returning callers that take the permits of those who can
// still be in time, and against a class of calls that is put back for good.
func TestUrgency(t *testing.T) {
	for _, tt := range cases.Load[urgencyCase](t, "testdata/urgency.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			var u urgency
			for i, c := range tt.Calls {
				at := clock.Time(time.Hour).Add(time.Duration(c.AtMs) * time.Millisecond)
				assert.Equal(t, c.First, u.isFirst("desk", c.Route, c.Priority, time.Duration(c.TimeoutMs)*time.Millisecond, at), "call %d", i)
			}
		})
	}
}

// Guards against memory that grows with the routes that the operator adds and removes.
func TestUrgencyIsBounded(t *testing.T) {
	var u urgency
	for i := range 3 * maxUrgencyRoutes {
		u.isFirst("desk", fmt.Sprint("route-", i), 0, time.Second, clock.Time(time.Hour))
	}
	assert.LessOrEqual(t, len(u.services["desk"].longest), maxUrgencyRoutes)
}
