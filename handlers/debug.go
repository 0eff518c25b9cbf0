package handlers

import (
	"encoding/json"
	"net/http"
	"os"

	"github.com/julienschmidt/httprouter"

	"github.com/ragworthitch/ragworthitch/entry"
	"github.com/ragworthitch/ragworthitch/metrics"
)

type (
	debugAPI struct {
		e *entry.Entry
		m *metrics.Reporter
	}

	// StatsBody is the JSON body of GET /debug/stats.
	StatsBody struct {
		Entry          string `json:"entry"`
		Streams        int64  `json:"streams"`
		Resumes        int64  `json:"resumes"`
		Delivered      int64  `json:"delivered"`
		Discarded      int64  `json:"discarded"`
		Recomputed     int64  `json:"recomputed"`
		GaveUp         int64  `json:"gaveUp"`
		TableWrites    int64  `json:"tableWrites"`
		TableErrors    int64  `json:"tableErrors"`
		ResumeCount    int64  `json:"resumeCount"`
		ResumeNanos    int64  `json:"resumeNanos"`
		CallsNotRun    int64  `json:"callsNotRun"`
		CallsRecovered int64  `json:"callsRecovered"`
	}
)

// fault exits the process without cleanup; the load tool's killEntry requests it.
func (d debugAPI) fault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f struct {
		Kind string `json:"kind"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil || f.Kind != "die" {
		writeError(w, http.StatusBadRequest, "bad fault: the one kind is die", false, 0)
		return
	}
	os.Exit(3)
}

func (d debugAPI) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !d.e.Ready() {
		writeError(w, http.StatusServiceUnavailable, "no live target yet", true, 1)
		return
	}
	w.Write([]byte("ok\n"))
}

func (d debugAPI) stats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s := d.e.Stats()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(StatsBody{
		Entry: d.e.Name(), Streams: s.Streams.Load(), Resumes: s.Resumes.Load(), Delivered: s.Delivered.Load(),
		Discarded: s.Discarded.Load(), Recomputed: s.Recomputed.Load(), GaveUp: s.GaveUp.Load(),
		TableWrites: s.TableWrites.Load(), TableErrors: s.TableErrors.Load(), ResumeCount: s.ResumeCount.Load(),
		ResumeNanos: s.ResumeNanos.Load(), CallsNotRun: s.CallsNotRun.Load(), CallsRecovered: s.CallsRecovered.Load(),
	})
}
