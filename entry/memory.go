package entry

import (
	"slices"
	"sync"
)

const (
	streamBytes = 32 << 10 // goroutines and structures of a stream
	tokenBytes  = 64       // a token that is kept for callers that reconnect
	// promptCopies counts the prompt itself, the body that is sent on and its checkpoint.
	promptCopies = 3
)

type (
	// finishedStreams are kept for callers that reconnect, the oldest first. The zero value
	// is empty.
	finishedStreams struct {
		mu      sync.Mutex
		streams []finishedStream
		last    uint64 // number of the newest
	}

	finishedStream struct {
		number uint64
		stream *Stream
	}
)

// add adds a stream and returns its number.
func (f *finishedStreams) add(s *Stream) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last++
	f.streams = append(f.streams, finishedStream{f.last, s})
	return f.last
}

// remove removes a stream, if it is there.
func (f *finishedStreams) remove(s *Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = slices.DeleteFunc(f.streams, func(e finishedStream) bool { return e.stream == s })
}

// oldest returns the oldest stream with a number of at most upTo; nil if there is none.
func (f *finishedStreams) oldest(upTo uint64) *Stream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.streams) == 0 || f.streams[0].number > upTo {
		return nil
	}
	return f.streams[0].stream
}

// newest returns the number of the newest stream.
func (f *finishedStreams) newest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// dropOldest unregisters the oldest finished stream with a number of at most upTo, and
// reports whether there was one.
func (e *Entry) dropOldest(upTo uint64) bool {
	s := e.finished.oldest(upTo)
	if s == nil {
		return false
	}
	e.unregister(s)
	return true
}

// reserve takes memory for a stream until it is unregistered. Finished streams make room for
// it.
func (s *Stream) reserve() bool {
	s.memory = streamBytes + len(s.req.ID()) + promptCopies*len(s.prompt) + tokenBytes*s.req.MaxTokens()
	memory := s.e.clients.Memory()
	for !memory.TryReserve(s.memory) {
		if !memory.CanHold(s.memory) || !s.e.dropOldest(s.e.finished.newest()) {
			return false
		}
	}
	return true
}

// free returns what reserve has taken.
func (s *Stream) free() { s.e.clients.Memory().Free(s.memory) }
