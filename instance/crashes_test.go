package instance

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/poison"
)

// TestClaimAfterItsRow guards against probes that no instance sends: the store's row of a
// claim is read before the claim is answered.
func TestClaimAfterItsRow(t *testing.T) {
	const row = 7
	i := &Instance{log: zerolog.Nop()}
	r := poison.Request{Fingerprint: poison.Of("o", "POST", "h", "/x", nil), Org: "o", Service: "llm"}
	for n := range 3 {
		i.poisonTracker.RecordOwnCrash(r, poison.Crash{Boot: ragworthitch.NewBoot(fmt.Sprint("t", n), 0), Call: "c"}, clock.Now())
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		i.poisonTracker.ApplyRows([]poison.Row{{RowKey: poison.RowKey{Fingerprint: r.Fingerprint}, Probes: 1, Version: row}}, clock.Now())
		_, err := fmt.Fprintf(w, `{"version":%d}`, row)
		assert.NoError(t, err)
	}))
	defer srv.Close()
	i.store = platform.NewStore(srv.Listener.Addr().String())
	st := i.poisonTracker.Status(r, clock.Now())
	assert.True(t, i.claimProbes(t.Context(), st.Probes))
	next := i.poisonTracker.Status(r, clock.Now()).Probes
	assert.Equal(t, []poison.Probe{{Fingerprint: r.Fingerprint, Count: 2, Row: row}}, next)
}
