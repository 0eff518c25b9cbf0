package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// checkCase is a history, times in ms, and the promises that it breaks.
type checkCase struct {
	Name     string
	Repeat   int // each call, under as many ids
	Calls    []Call
	Runs     []Run
	Changes  []Change
	Troubles []struct {
		Kind, From, To string
		Begun, Over    int64
	}
	Deaths []Death
	Usage  []Usage
	Broken []string
}

// TestCheck seeds the records of a play with one fault each: the checks have to
// find every one of them, and nothing in what is allowed.
func TestCheck(t *testing.T) {
	for _, tt := range cases.Load[checkCase](t, "testdata/check.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			rules := []string{}
			for _, v := range Check(tt.history()) {
				if !slices.Contains(rules, v.Rule) {
					rules = append(rules, v.Rule)
				}
			}
			slices.Sort(rules)
			assert.Equal(t, tt.Broken, rules)
		})
	}
}

func (tt *checkCase) history() History {
	h := History{Calls: slices.Clone(tt.Calls), Runs: slices.Clone(tt.Runs), Changes: slices.Clone(tt.Changes), Deaths: tt.Deaths, Usage: tt.Usage}
	for n := 1; n < tt.Repeat; n++ {
		for _, c := range tt.Calls {
			c.ID = fmt.Sprint(c.ID, n)
			h.Calls = append(h.Calls, c)
		}
	}
	for i := range h.Calls {
		c := &h.Calls[i]
		ns(&c.Sent, &c.Ended)
		c.Limit = plainLimit
		c.Connected = true
		if c.Kind == CallStream {
			c.Limit, c.Events = streamLimit, 4
		}
		for _, n := range c.IDs[len(c.Texts):] { // texts are given where they are wrong
			c.Texts = append(c.Texts, eventText(c.Subject, n))
		}
	}
	for i := range h.Runs {
		ns(&h.Runs[i].At)
	}
	for i := range h.Changes {
		ns(&h.Changes[i].Sent, &h.Changes[i].Acked)
	}
	for _, tr := range tt.Troubles {
		ns(&tr.Begun, &tr.Over)
		h.Troubles = append(h.Troubles, Trouble{Fault: Fault{Kind: tr.Kind, From: tr.From, To: tr.To}, Begun: tr.Begun, Over: tr.Over})
	}
	return h
}

// ns turns ms into ns.
func ns(ms ...*int64) {
	for _, t := range ms {
		*t *= int64(time.Millisecond)
	}
}
