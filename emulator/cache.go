package emulator

import "slices"

// cache is the prompts that an engine has kept, the least recently used
// first. The zero value is empty.
type cache struct {
	kept  []kept
	total int
}

type kept struct {
	subject string
	tokens  int
}

// put keeps a prompt; one without a subject is nobody's.
func (c *cache) put(subject string, tokens int) {
	if subject == "" {
		return
	}
	c.take(subject)
	c.kept = append(c.kept, kept{subject, tokens})
	c.total += tokens
}

// take returns how many tokens of a prompt are kept, which belong to the
// taker from then on.
func (c *cache) take(subject string) int {
	i := slices.IndexFunc(c.kept, func(k kept) bool { return k.subject == subject })
	if i < 0 {
		return 0
	}
	n := c.kept[i].tokens
	c.kept = slices.Delete(c.kept, i, i+1)
	c.total -= n
	return n
}

// shrink has the least recently used prompts yield down to so many tokens.
func (c *cache) shrink(to int) {
	for c.total > max(to, 0) {
		c.total -= c.kept[0].tokens
		c.kept = c.kept[1:]
	}
}
