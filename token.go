package ragworthitch

import (
	"encoding/binary"
	"hash/fnv"
	"strconv"
)

// Token is one generated token of an answer, with the number of the attempt that
// generated it.
type Token struct {
	offset  int
	attempt int
	text    string
}

// NewToken returns the token at an offset in the answer.
func NewToken(offset, attempt int, text string) Token {
	return Token{offset: offset, attempt: attempt, text: text}
}

// Offset returns the token's position in the answer, from 0.
func (t Token) Offset() int { return t.offset }

// Attempt returns the number of the attempt that generated the token.
func (t Token) Attempt() int { return t.attempt }

// Text returns the token's text.
func (t Token) Text() string { return t.text }

// FirstToken returns the stand-in engine's first token for a prompt and seed.
//
// Each further token is a hash of its predecessor and its offset. A checker can
// therefore prove that an answer is complete: a missing, repeated or foreign
// token breaks the chain. Generations with different seeds differ from the first
// token on.
func FirstToken(model, prompt string, seed uint64) string {
	h := fnv.New64a()
	h.Write([]byte(model))
	var b [16]byte
	h.Write([]byte(prompt))
	binary.LittleEndian.PutUint64(b[:8], uint64(len(prompt)))
	binary.LittleEndian.PutUint64(b[8:], seed)
	h.Write(b[:])
	return "t" + strconv.FormatUint(h.Sum64()&0xffffff, 16)
}

// NextToken returns the token that follows prev, at the given offset.
func NextToken(prev string, offset int) string {
	h := fnv.New64a()
	h.Write([]byte(prev))
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(offset))
	h.Write(b[:])
	return "t" + strconv.FormatUint(h.Sum64()&0xffffff, 16)
}
