package emulator

import "slices"

// promptCache is an engine's LRU cache of prompts, least recently used first.
// The zero value is empty.
type promptCache struct {
	prompts []cachedPrompt
	tokens  int
}

type cachedPrompt struct {
	subject string
	tokens  int
}

// add caches a prompt. A prompt without a subject can't be looked up and is
// not cached.
func (c *promptCache) add(subject string, tokens int) {
	if subject == "" {
		return
	}
	c.remove(subject)
	c.prompts = append(c.prompts, cachedPrompt{subject, tokens})
	c.tokens += tokens
}

// remove takes a prompt out of the cache and returns its number of cached
// tokens.
func (c *promptCache) remove(subject string) int {
	i := slices.IndexFunc(c.prompts, func(k cachedPrompt) bool { return k.subject == subject })
	if i < 0 {
		return 0
	}
	n := c.prompts[i].tokens
	c.prompts = slices.Delete(c.prompts, i, i+1)
	c.tokens -= n
	return n
}

// evict drops the least recently used prompts until at most limit tokens remain.
func (c *promptCache) evict(limit int) {
	for c.tokens > max(limit, 0) {
		c.tokens -= c.prompts[0].tokens
		c.prompts = c.prompts[1:]
	}
}
