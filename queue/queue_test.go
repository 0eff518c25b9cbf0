package queue

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOrderAcrossPushers(t *testing.T) {
	var q Queue[int]
	var wg sync.WaitGroup
	const perPusher = 1000
	for p := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range perPusher {
				q.Push(p*perPusher + i)
			}
		}()
	}
	last := map[int]int{0: -1, 1: perPusher - 1, 2: 2*perPusher - 1, 3: 3*perPusher - 1}
	received := 0
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for received < 4*perPusher {
		select {
		case <-q.Ready():
		case <-done:
		}
		for _, v := range q.Take() {
			p := v / perPusher
			assert.Greater(t, v, last[p], "pusher %d out of order", p)
			last[p] = v
			received++
		}
	}
	assert.Equal(t, 4*perPusher, received)
}
