package ragworthitch

import (
	"encoding/binary"
	"hash/fnv"
	"strconv"
)

// Token is one generated token of an answer.
//
// Offset counts from 0 within the answer; Attempt is the fencing number of
// the generation that produced it, so tokens of two attempts are never mixed.
type Token struct {
	offset  int
	attempt int
	text    string
}

// NewToken returns a token.
func NewToken(offset, attempt int, text string) Token {
	return Token{offset: offset, attempt: attempt, text: text}
}

// Offset is the token's position in the answer.
func (t Token) Offset() int { return t.offset }

// Attempt is the attempt number that generated the token.
func (t Token) Attempt() int { return t.attempt }

// Text is the token itself.
func (t Token) Text() string { return t.text }

// FirstToken is the stand-in engine's first token for a prompt and seed.
//
// The stand-in generates a chain: each token is a hash of the one before it
// and its offset, as a greedy decoder's next token depends on what came
// before. A checker can then prove an answer whole: a missing, repeated or
// foreign token breaks the chain. Two fresh generations of one request differ
// from the first token on when their seeds differ.
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

// NextToken is the token that follows prev at offset.
func NextToken(prev string, offset int) string {
	h := fnv.New64a()
	h.Write([]byte(prev))
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(offset))
	h.Write(b[:])
	return "t" + strconv.FormatUint(h.Sum64()&0xffffff, 16)
}
