package engine

import (
	"container/list"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch"
)

const (
	prefillTokensPerStep = 512 // prompt tokens
	cacheKeyWords        = 64  // leading words of the prompt in the cache key
	maxLoadSnapshots     = 64  // bounds the delay of Load reports
)

type (
	// StandIn imitates a model engine: continuous batching at a fixed step
	// time, a bounded prefix cache, priorities, resume from a prefix,
	// cancellation, delayed load reports, fencing and fault injection.
	StandIn struct {
		cfg StandInConfig
		log zerolog.Logger

		mu             sync.Mutex
		sequences      []*sequence
		lastSequenceID int64
		fencing        uint64
		cache          *lru
		pausedUntil    time.Time
		loadSnapshots  []Load

		stats struct{ generated, prefilled, cacheHits, completions, fenced atomic.Int64 }
		exit  func(int)
	}

	// StandInConfig configures a StandIn.
	StandInConfig struct {
		Name          string
		Models        []string
		Step          time.Duration
		Batch         int
		CacheBlocks   int
		LoadLag       time.Duration
		RefuseFencing bool // reject old fencing numbers instead of ignoring them
	}

	// sequence is a generation in the batch or in the queue.
	sequence struct {
		id           int64
		priority     int
		prefillSteps int // steps until the prefill is complete
		nextOffset   int
		max          int // tokens of the answer, with those of the resumed prefix
		lastToken    string
		tokens       chan string
		isFinished   bool
	}

	// lru is the prefix cache, bounded to max keys; the front of order is the most
	// recently used key.
	lru struct {
		max   int
		order *list.List
		items map[uint64]*list.Element
	}
)

// NewStandIn returns an engine stand-in that decodes while Run runs.
func NewStandIn(cfg StandInConfig, log zerolog.Logger) *StandIn {
	if cfg.Step <= 0 {
		cfg.Step = 10 * time.Millisecond
	}
	if cfg.Batch <= 0 {
		cfg.Batch = 32
	}
	return &StandIn{cfg: cfg, log: log, cache: &lru{max: max(cfg.CacheBlocks, 1), order: list.New(), items: map[uint64]*list.Element{}}, exit: os.Exit}
}

// Run executes decode steps until stop is closed.
func (s *StandIn) Run(stop <-chan struct{}) {
	t := time.NewTicker(s.cfg.Step)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			s.decodeStep(now)
		}
	}
}

// decodeStep decodes one token for each running sequence, highest priority first.
func (s *StandIn) decodeStep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLoad(now)
	if now.Before(s.pausedUntil) {
		return
	}
	slices.SortStableFunc(s.sequences, func(a, b *sequence) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return int(a.id - b.id)
	})
	unfinished := s.sequences[:0]
	for i, q := range s.sequences {
		if q.isFinished {
			continue
		}
		unfinished = append(unfinished, q)
		if i >= s.cfg.Batch {
			continue // queued until the batch has a free slot
		}
		if q.prefillSteps > 0 {
			q.prefillSteps--
			continue
		}
		tok := q.lastToken // of a new generation: the first token, set by admit
		if q.nextOffset > 0 {
			tok = ragworthitch.NextToken(q.lastToken, q.nextOffset)
		}
		select {
		case q.tokens <- tok:
			q.lastToken = tok
			q.nextOffset++
			s.stats.generated.Add(1)
		default:
			continue // the client reads too slowly; the next step sends the token
		}
		if q.nextOffset >= q.max {
			q.isFinished = true
			close(q.tokens)
		}
	}
	s.sequences = unfinished
}

func (s *StandIn) recordLoad(now time.Time) {
	running, waiting := 0, 0
	for i, q := range s.sequences {
		if q.isFinished {
			continue
		}
		if i < s.cfg.Batch {
			running++
		} else {
			waiting++
		}
	}
	s.loadSnapshots = append(s.loadSnapshots, Load{Running: running, Waiting: waiting, AtMs: now.UnixMilli()})
	if len(s.loadSnapshots) > maxLoadSnapshots {
		s.loadSnapshots = s.loadSnapshots[len(s.loadSnapshots)-maxLoadSnapshots:]
	}
}

// Load returns the newest load snapshot that is at least LoadLag old.
func (s *StandIn) Load(now time.Time) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	newestMs := now.Add(-s.cfg.LoadLag).UnixMilli()
	var l Load
	for _, snapshot := range s.loadSnapshots {
		if snapshot.AtMs > newestMs {
			break
		}
		l = snapshot
	}
	return l
}

// Stats returns the stand-in's counters.
func (s *StandIn) Stats() Stats {
	return Stats{
		Generated: s.stats.generated.Load(), Prefilled: s.stats.prefilled.Load(),
		CacheHits: s.stats.cacheHits.Load(), Completions: s.stats.completions.Load(),
		Fenced: s.stats.fenced.Load(),
	}
}

// Handler returns the handler of the engine protocol.
func (s *StandIn) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/completions", s.serveCompletion)
	r.GET("/v1/load", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, http.StatusOK, s.Load(time.Now()))
	})
	r.POST("/v1/fault", s.serveFault)
	r.GET("/debug/stats", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
	return r
}

// admit adds a sequence for a completion. It returns ErrFenced if the stand-in
// rejects the fencing number.
func (s *StandIn) admit(c Completion) (*sequence, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Fencing > 0 {
		if c.Fencing < s.fencing && s.cfg.RefuseFencing {
			s.stats.fenced.Add(1)
			return nil, ErrFenced
		}
		s.fencing = max(s.fencing, c.Fencing)
	}
	s.lastSequenceID++
	q := &sequence{id: s.lastSequenceID, priority: c.Priority, max: c.MaxTokens, tokens: make(chan string, 64)}
	prefillTokens := len(strings.Fields(c.Prompt)) + len(c.Prefix)
	if s.cache.touch(cacheKey(c.Model, c.Prompt)) {
		s.stats.cacheHits.Add(1)
		prefillTokens -= min(cacheKeyWords, len(strings.Fields(c.Prompt)))
	}
	s.stats.prefilled.Add(int64(prefillTokens))
	q.prefillSteps = (prefillTokens + prefillTokensPerStep - 1) / prefillTokensPerStep
	if n := len(c.Prefix); n > 0 {
		q.nextOffset = n
		q.lastToken = c.Prefix[n-1]
	} else {
		q.lastToken = ragworthitch.FirstToken(c.Model, c.Prompt, c.Seed)
	}
	if q.nextOffset >= q.max {
		q.isFinished = true
		close(q.tokens)
	}
	s.sequences = append(s.sequences, q)
	s.stats.completions.Add(1)
	return q, nil
}

func (s *StandIn) cancel(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !q.isFinished {
		q.isFinished = true
		close(q.tokens)
	}
}

func (s *StandIn) serveCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var c Completion
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<24)).Decode(&c); err != nil {
		http.Error(w, "bad completion: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !slices.Contains(s.cfg.Models, c.Model) {
		http.Error(w, fmt.Sprintf("model %q is not loaded", c.Model), http.StatusNotFound)
		return
	}
	if c.MaxTokens <= 0 {
		http.Error(w, "max_tokens must be positive", http.StatusBadRequest)
		return
	}
	q, err := s.admit(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	defer s.cancel(q)
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if flusher != nil {
		flusher.Flush()
	}
	id := fmt.Sprintf("cmpl-%s-%d", s.cfg.Name, q.id)
	for {
		select {
		case <-r.Context().Done():
			return
		case tok, ok := <-q.tokens:
			if !ok {
				fmt.Fprint(w, "data: [DONE]\n\n")
				if flusher != nil {
					flusher.Flush()
				}
				return
			}
			b, _ := json.Marshal(Chunk{ID: id, Object: "text_completion", Choices: []Choice{{Text: tok}}})
			fmt.Fprintf(w, "data: %s\n\n", b)
			if flusher != nil && len(q.tokens) == 0 {
				flusher.Flush()
			}
		}
	}
}

func (s *StandIn) serveFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&f); err != nil {
		http.Error(w, "bad fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	switch f.Kind {
	case "die":
		s.log.Warn().Msg("engine: exiting on an injected fault")
		s.exit(3)
	case "pause":
		s.mu.Lock()
		s.pausedUntil = time.Now().Add(time.Duration(f.ForMs) * time.Millisecond)
		s.mu.Unlock()
		s.log.Warn().Int64("forMs", f.ForMs).Msg("engine: paused")
	default:
		http.Error(w, fmt.Sprintf("unknown fault %q (die, pause)", f.Kind), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func cacheKey(model, prompt string) uint64 {
	words := strings.Fields(prompt)
	h := fnv.New64a()
	h.Write([]byte(model))
	for _, w := range words[:min(cacheKeyWords, len(words))] {
		h.Write([]byte(w))
	}
	return h.Sum64()
}

// touch adds k, or marks it as the most recently used key, and reports whether
// it was cached.
func (c *lru) touch(k uint64) bool {
	if e, ok := c.items[k]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.items[k] = c.order.PushFront(k)
	if c.order.Len() > c.max {
		old := c.order.Back()
		c.order.Remove(old)
		delete(c.items, old.Value.(uint64))
	}
	return false
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}
