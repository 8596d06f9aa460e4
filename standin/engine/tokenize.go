package engine

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"radishhollow/standin"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Tokenize returns one id per word. As with a real tokenizer, the ids of output text differ from the ids that produced
// the text, so that tests detect a caller that tokenizes output again.
func Tokenize(text string) []uint32 {
	words := strings.Fields(text)
	ids := make([]uint32, len(words))
	for i, word := range words {
		ids[i] = uint32(xxhash.Sum64String(word)%(minFirstToken-1)) + 1
	}
	return ids
}

// TokenizeChat tokenizes a chat, with a role marker before each message and an assistant marker at the end.
func TokenizeChat(messages []Message) []uint32 {
	var ids []uint32
	for _, m := range messages {
		ids = append(ids, Tokenize("<|"+m.Role+"|>")...)
		ids = append(ids, Tokenize(m.Content)...)
	}
	return append(ids, Tokenize("<|assistant|>")...)
}

func (s *Server) handleTokenize(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model    string    `json:"model"`
		Prompt   string    `json:"prompt"`
		Messages []Message `json:"messages"`
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	ids := Tokenize(body.Prompt)
	if body.Messages != nil {
		ids = TokenizeChat(body.Messages)
	}
	standin.WriteJSON(w, http.StatusOK, map[string]any{"tokens": ids, "count": len(ids)})
}
