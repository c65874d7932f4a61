// Package prompt defines the input of a model and its digests.
package prompt

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is how many bytes of a prompt the digest of its prefix covers.
const prefixBytes = 512

// Message is one message of a chat.
type Message struct {
	// Role is not empty.
	Role    string
	Content string
}

// Prompt is either a text or a chat. It is immutable.
type Prompt struct {
	text     string
	messages []Message
}

// Text returns a prompt that consists of a text to complete.
func Text(s string) Prompt { return Prompt{text: s} }

// Chat returns a prompt that consists of the messages of a chat.
func Chat(messages []Message) Prompt { return Prompt{messages: messages} }

// IsChat reports whether p has messages.
func (p Prompt) IsChat() bool { return len(p.messages) > 0 }

// Messages returns the messages of a chat. The slice must not be modified.
func (p Prompt) Messages() []Message { return p.messages }

// Text returns the text to complete. For a chat it returns the concatenation of
// all roles and contents, each followed by a zero byte.
func (p Prompt) Text() string {
	if !p.IsChat() {
		return p.text
	}
	var b strings.Builder
	for _, m := range p.messages {
		b.WriteString(m.Role)
		b.WriteByte(0)
		b.WriteString(m.Content)
		b.WriteByte(0)
	}
	return b.String()
}

// Digest identifies the whole prompt.
func (p Prompt) Digest() uint64 { return xxhash.Sum64String(p.Text()) }

// PrefixDigest identifies the prefix of the prompt, which engines may have in
// their cache.
func (p Prompt) PrefixDigest() uint64 {
	s := p.Text()
	return xxhash.Sum64String(s[:min(len(s), prefixBytes)])
}
