package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/emulator"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/poison"
)

const (
	// crashedFor is how long an engine that has crashed is down.
	crashedFor = 3 * time.Second
	// crashesBorne is how many engines a call may crash, and spread how long after
	// that it may take until all entries know it.
	crashesBorne = 3
	spread       = 3 * time.Second

	deadlyName   = "deadly"
	deadlyPrompt = 8000
	deadlyEvents = 130
)

type (
	// deadly is what a deadly call has done.
	deadly struct {
		mu      sync.Mutex
		sends   []time.Time
		crashes []time.Time
	}

	// store keeps what is known of crashes while all entries are killed.
	store struct {
		mu     sync.Mutex
		gone   bool
		rows   map[poison.RowKey]poison.Row
		trials map[poison.Fingerprint]int
	}

	// sender notes the orders of deadly calls.
	sender struct {
		emulator.Sender
		p *play
	}
)

// Send sends an order.
func (s sender) Send(ctx context.Context, o *ingress.Order) (*ingress.Reply, error) {
	if o.Call.Subject == deadlyName {
		s.p.deadly.mu.Lock()
		s.p.deadly.sends = append(s.p.deadly.sends, time.Now())
		s.p.deadly.mu.Unlock()
	}
	return s.Sender.Send(ctx, o)
}

// sendDeadly has a deadly call come, at any entry, evenly spread over the fault's
// time. Each caller sends it once more if that seems of use.
func (p *play) sendDeadly(ctx context.Context, f Fault) {
	gap := time.Duration(f.ForMs) * time.Millisecond / time.Duration(max(1, f.Tries))
	for n := range f.Tries {
		go p.tryDeadly(ctx, n)
		if !clock.Sleep(ctx, gap) {
			return
		}
	}
}

func (p *play) tryDeadly(ctx context.Context, n int) {
	for try := range maxTries {
		call := &ingress.Call{ID: fmt.Sprintf("%s-%d-%d", deadlyName, n, try), Method: http.MethodPost, Host: host, Path: path, Header: http.Header{},
			Patience: patience, Prompt: deadlyPrompt, Output: deadlyEvents * p.load.kind().TokensPerEvent, Subject: deadlyName,
			Body: emulator.PoisonBody(deadlyEvents, deadlyName), Received: clock.Now()}
		w := &answer{c: &caller{}}
		in := p.anyEntry()
		tctx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(in.life, cancel)
		in.handler.ServeWhole(tctx, w, call)
		stop()
		cancel()
		if w.status == http.StatusInternalServerError || ctx.Err() != nil {
			return
		}
	}
}

// crash has an engine crash, and start again after a while.
func (p *play) crash(place *emulator.Node) {
	if place.State() != emulator.Up {
		return
	}
	p.deadly.mu.Lock()
	p.deadly.crashes = append(p.deadly.crashes, time.Now())
	p.deadly.mu.Unlock()
	place.Fail(emulator.Down)
	time.AfterFunc(crashedFor, func() {
		place.Restart(false)
		time.AfterFunc(newsDelay, func() { p.announce(place) })
	})
}

// result is how many engines were crashed, and how many orders came late.
func (d *deadly) result() (crashed, late int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) < crashesBorne {
		return len(d.crashes), 0
	}
	from := d.crashes[crashesBorne-1].Add(spread)
	for _, at := range d.sends {
		if at.After(from) {
			late++
		}
	}
	return len(d.crashes), late
}

// killEntries ends all entries and starts new ones, which know what the store has.
func (p *play) killEntries() {
	rows := p.store.all()
	for i, old := range p.all() {
		in := newInstance(p, old.name, p.load.Zones[i%len(p.load.Zones)])
		in.crashes.Replace(rows, clock.Now())
		old.kill()
		p.mu.Lock()
		p.entries[i] = in
		p.mu.Unlock()
	}
	for _, c := range p.callers {
		c.breakOff()
	}
}

// claim takes a trial, if no other entry has.
func (in *instance) claim(_ context.Context, t poison.Trial) bool {
	s := &in.play.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone || s.trials[t.Print] >= t.Count {
		return false
	}
	if s.trials == nil {
		s.trials = map[poison.Fingerprint]int{}
	}
	s.trials[t.Print] = t.Count
	return in.crashes.Claim(t, int64(t.Count), clock.Now())
}

func (s *store) away(gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = gone
}

// take keeps what a book wants to be kept.
func (s *store) take(b *poison.Book) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return
	}
	if s.rows == nil {
		s.rows = map[poison.RowKey]poison.Row{}
	}
	edits, _ := b.Take()
	for _, e := range edits {
		for _, k := range e.Drop {
			delete(s.rows, k)
		}
		if len(e.Drop) == 0 {
			k := poison.RowKey{Print: e.Death.Print, Boot: e.Death.Boot}
			s.rows[k] = poison.Row{RowKey: k, Death: e.Death}
		}
	}
}

// all are the rows that are kept.
func (s *store) all() []poison.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []poison.Row
	for _, r := range s.rows {
		out = append(out, r)
	}
	return out
}
