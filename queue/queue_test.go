package queue

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOrderAcrossPushers(t *testing.T) {
	var q Queue[int]
	var wg sync.WaitGroup
	const per = 1000
	for p := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range per {
				q.Push(p*per + i)
			}
		}()
	}
	last := map[int]int{0: -1, 1: per - 1, 2: 2*per - 1, 3: 3*per - 1}
	got := 0
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for got < 4*per {
		select {
		case <-q.Ready():
		case <-done:
		}
		for _, v := range q.Take() {
			p := v / per
			assert.Greater(t, v, last[p], "pusher %d out of order", p)
			last[p] = v
			got++
		}
	}
	assert.Equal(t, 4*per, got)
}
