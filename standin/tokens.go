package standin

import (
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	vocabularySize = 50021 // number of different tokens
	// Lengths follow a Pareto distribution: as in training rollouts, a few
	// completions are much longer than the others.
	minNaturalTokens = 8   // scale of the distribution, in tokens
	paretoExponent   = 1.2 // shape of the distribution
)

// PromptID identifies a prompt in ledgers.
func PromptID(prompt string) string { return strconv.FormatUint(xxhash.Sum64String(prompt), 16) }

// Token returns token i of the completion of a prompt. It does not depend on the
// server or the weight version, so that clients can verify every answer.
func Token(prompt string, i int) int {
	return int(xxhash.Sum64String(prompt+"#"+strconv.Itoa(i)) % vocabularySize)
}

// TokenText returns the text of a token.
func TokenText(token int) string { return strconv.Itoa(token) + " " }

// TextOf returns the concatenated text of tokens.
func TextOf(tokens []int) string {
	var b strings.Builder
	for _, token := range tokens {
		b.WriteString(TokenText(token))
	}
	return b.String()
}

// CompletionLength returns the number of tokens of the completion of a prompt and
// whether maxTokens limits it.
func CompletionLength(prompt string, maxTokens int) (tokens int, limited bool) {
	uniform := (float64(xxhash.Sum64String("length#"+prompt)>>11) + 1) / (1 << 53)
	natural := minNaturalTokens * math.Pow(uniform, -1/paretoExponent)
	if natural >= float64(maxTokens) {
		return maxTokens, true
	}
	return int(natural), false
}

// Completion returns the tokens of the whole completion of a prompt.
func Completion(prompt string, maxTokens int) []int {
	count, _ := CompletionLength(prompt, maxTokens)
	tokens := make([]int, count)
	for i := range tokens {
		tokens[i] = Token(prompt, i)
	}
	return tokens
}

// CompletionText returns the text of the whole completion of a prompt.
func CompletionText(prompt string, maxTokens int) string {
	return TextOf(Completion(prompt, maxTokens))
}

// ScoreOf returns the score that the scoring service assigns to a text, in [0, 1).
func ScoreOf(text string) float64 {
	return float64(xxhash.Sum64String("score#"+text)>>11) / (1 << 53)
}
