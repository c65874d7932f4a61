package caller_test

import "papayaspoke/core/prompt"

func chatPrompt() prompt.Prompt {
	return prompt.Chat([]prompt.Message{{Role: "system", Content: "be brief"}, {Role: "user", Content: "a letter"}})
}
