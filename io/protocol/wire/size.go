package wire

const (
	// copiesOfBody is how many copies of a JSON body its handler makes.
	copiesOfBody = 2
	// bytesPerElement is what an object, a list or a further element holds once it is
	// decoded, garbage of growing lists included.
	bytesPerElement = 320
)

// DecodedSize returns an estimate of the bytes that a JSON body holds once it is
// decoded, besides the body itself.
func DecodedSize(body []byte) int {
	return copiesOfBody*len(body) + bytesPerElement*countElements(body)
}

// countElements counts the objects, lists and commas of a JSON text outside strings.
func countElements(text []byte) int {
	n, inString, escaped := 0, false, false
	for _, c := range text {
		switch {
		case escaped:
			escaped = false
		case inString && c == '\\':
			escaped = true
		case c == '"':
			inString = !inString
		case !inString && (c == '{' || c == '[' || c == ','):
			n++
		}
	}
	return n
}
