package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"
)

func TestText(t *testing.T) {
	scope, reporter, stop := New("front-1")
	scope.Counter("answered").Inc(3)
	h := scope.Histogram("plain_time", tally.DurationBuckets{10 * time.Millisecond, 100 * time.Millisecond})
	h.RecordDuration(5 * time.Millisecond)
	h.RecordDuration(7 * time.Millisecond)
	h.RecordDuration(50 * time.Millisecond)
	stop() // reports pending values
	w := httptest.NewRecorder()
	reporter.TextHandler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var own []string // without tally's internal metrics
	for line := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(line, "ragworthitch.") {
			own = append(own, strings.TrimSpace(line))
		}
	}
	assert.Equal(t, []string{"ragworthitch.answered 3", `ragworthitch.plain_time{le="0.01"} 2`, `ragworthitch.plain_time{le="0.1"} 3`}, own)
}
