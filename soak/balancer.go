package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	// The balancer checks every instance at this interval and stops using an instance
	// after this number of failed checks in a row.
	readyCheckInterval    = time.Second
	readyFailureThreshold = 2
)

// balancer selects the instances of new connections by their readiness checks, as the
// platform's balancer does.
type balancer struct {
	addrs []string
	http  http.Client

	mu        sync.Mutex
	failures  []int
	gathering int // the instance that gets most new connections, or noGathering
}

// noGathering means that all ready instances get the same share.
const noGathering = -1

func newBalancer(addrs []string) *balancer {
	return &balancer{addrs: addrs, gathering: noGathering, failures: make([]int, len(addrs)), http: http.Client{Timeout: readyCheckInterval}}
}

// run checks the instances until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for {
		var checks sync.WaitGroup
		for n := range b.addrs {
			checks.Go(func() { b.checkReady(n) })
		}
		if !clock.Sleep(ctx, readyCheckInterval) {
			return
		}
		checks.Wait()
	}
}

func (b *balancer) checkReady(n int) {
	resp, err := b.http.Get("http://" + b.addrs[n] + platform.ReadyPath)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures[n] = 0
	} else {
		b.failures[n]++
	}
}

// setGathering makes most new connections go to an instance while it is ready.
func (b *balancer) setGathering(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gathering = n
}

// pick selects a ready instance at random, or any instance if none is ready.
func (b *balancer) pick(rng *rand.Rand) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gathering != noGathering && b.failures[b.gathering] < readyFailureThreshold && rng.Float64() < gatherShare {
		return b.gathering
	}
	var ready []int
	for n, failures := range b.failures {
		if failures < readyFailureThreshold {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return rng.IntN(len(b.addrs))
	}
	return ready[rng.IntN(len(ready))]
}

// allReady checks all instances and reports whether every instance is ready.
func (b *balancer) allReady() bool {
	for n := range b.addrs {
		b.checkReady(n)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, failures := range b.failures {
		if failures > 0 {
			return false
		}
	}
	return true
}
