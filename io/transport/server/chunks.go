package server

import "papayaspoke/core/result"

const (
	// maxExtensionBytes bounds the chunk extensions and the trailer section of a
	// request together. Both are discarded.
	maxExtensionBytes = 64 << 10
	// maxChunkDigits bounds the digits of the size of a chunk.
	maxChunkDigits = 15
)

// readChunkSize reads the line before a chunk.
func (in *intake) readChunkSize(data []byte) (int, *result.Error) {
	for i, c := range data {
		if in.sawCR {
			return i + 1, in.endChunkSize(c)
		}
		digit, isDigit := hexValue(c)
		switch {
		case c == '\r' && in.digits > 0:
			in.sawCR = true
		case in.phase == chunkExtension && c != '\n':
			if err := in.countExtension(); err != nil {
				return 0, err
			}
		case isDigit && in.phase == chunkSize && in.digits < maxChunkDigits:
			in.missing = in.missing<<4 | digit
			in.digits++
		case (c == ';' || c == ' ' || c == '\t') && in.digits > 0:
			in.phase = chunkExtension
		default:
			return 0, result.New(result.Malformed, "invalid size of a chunk")
		}
	}
	return len(data), nil
}

func hexValue(c byte) (int, bool) {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0'), true
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10, true
	}
	return 0, false
}

func (in *intake) countExtension() *result.Error {
	in.extensionBytes++
	if in.extensionBytes > maxExtensionBytes {
		return result.New(result.HeadTooLarge, "chunk extensions and trailers are larger than %d bytes", maxExtensionBytes)
	}
	return nil
}

// endChunkSize ends the line before a chunk.
func (in *intake) endChunkSize(c byte) *result.Error {
	in.sawCR, in.digits = false, 0
	if c != '\n' {
		return result.New(result.Malformed, "invalid end of a line")
	}
	if in.missing == 0 {
		in.phase = trailer
		return nil
	}
	if in.missing > in.limits.BodyBytes-len(in.body) {
		return in.tooLarge()
	}
	in.phase = chunkData
	return nil
}

func (in *intake) tooLarge() *result.Error {
	return result.New(result.TooLarge, "body is larger than %d bytes", in.limits.BodyBytes)
}

func (in *intake) readChunkData(data []byte) (int, *result.Error) {
	n := min(len(data), in.missing)
	if err := in.grow(n, in.limits.BodyBytes); err != nil {
		return 0, err
	}
	in.body = append(in.body, data[:n]...)
	in.missing -= n
	if in.missing == 0 {
		in.phase = chunkEnd
	}
	return n, nil
}

// readChunkEnd reads a byte of the end of line after a chunk.
func (in *intake) readChunkEnd(c byte) (int, *result.Error) {
	switch {
	case c == '\r' && !in.sawCR:
		in.sawCR = true
	case c == '\n' && in.sawCR:
		in.sawCR, in.phase = false, chunkSize
	default:
		return 0, result.New(result.Malformed, "a chunk is longer than its size")
	}
	return 1, nil
}

// readTrailer discards the trailer section. The empty line at its end ends the
// request.
func (in *intake) readTrailer(data []byte) (int, *result.Error) {
	for i, c := range data {
		switch {
		case in.sawCR && c != '\n', c == '\n' && !in.sawCR:
			return 0, result.New(result.Malformed, "invalid end of a line")
		case c == '\r':
			in.sawCR = true
		case c == '\n' && in.lineBytes == 0:
			return i + 1, in.finish()
		case c == '\n':
			in.sawCR, in.lineBytes = false, 0
		default:
			in.lineBytes++
		}
		if err := in.countExtension(); err != nil {
			return 0, err
		}
	}
	return len(data), nil
}
