// Package prompt defines what a model is asked, and its digests.
package prompt

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// headBytes is how much of a prompt's beginning its head digest covers.
const headBytes = 512

// Message is one turn of a chat.
type Message struct {
	// Role is not empty.
	Role string
	// Content is what was said.
	Content string
}

// Prompt is either a text or a chat, never both. It is not changed once made.
type Prompt struct {
	text     string
	messages []Message
}

// Text returns a prompt to be completed.
func Text(s string) Prompt { return Prompt{text: s} }

// Chat returns a prompt of messages.
func Chat(messages []Message) Prompt { return Prompt{messages: messages} }

// IsChat reports whether p is made of messages.
func (p Prompt) IsChat() bool { return len(p.messages) > 0 }

// Messages returns the messages of a chat, which the caller must not change.
func (p Prompt) Messages() []Message { return p.messages }

// Text returns the text to be completed, or of a chat the messages one after
// another.
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

// PrefixDigest identifies the beginning of the prompt, which engines may have
// cached.
func (p Prompt) PrefixDigest() uint64 {
	s := p.Text()
	return xxhash.Sum64String(s[:min(len(s), headBytes)])
}
