package claims

import "github.com/coltsfootdrift/coltsfootdrift/claim"

// answerCacheBytes limits the memory for answers that are too large to be stored in
// full.
const answerCacheBytes = 16 << 20

// answerCache holds the newest large answers. Its zero value is empty. It is guarded
// by Claims.mu.
type answerCache struct {
	answers map[claim.Token]claim.Answer
	order   []claim.Token
	bytes   int
}

func (c *answerCache) get(token claim.Token) (claim.Answer, bool) {
	answer, ok := c.answers[token]
	return answer, ok
}

func (c *answerCache) put(token claim.Token, answer claim.Answer) {
	if len(answer.Body) > answerCacheBytes {
		return
	}
	if c.answers == nil {
		c.answers = map[claim.Token]claim.Answer{}
	}
	c.answers[token] = answer
	c.order = append(c.order, token)
	for c.bytes += len(answer.Body); c.bytes > answerCacheBytes; c.order = c.order[1:] {
		c.bytes -= len(c.answers[c.order[0]].Body)
		delete(c.answers, c.order[0])
	}
}
