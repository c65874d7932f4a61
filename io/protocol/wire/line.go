package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrLineTooLong is returned for a line that is longer than the limit.
var ErrLineTooLong = errors.New("line is too long")

// ReadLine returns the next line without its terminator. It returns
// [io.ErrUnexpectedEOF] both for an unterminated last line and at the end of
// the input, since a complete stream is marked by its last line, not by the end
// of the input.
func ReadLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > limit:
			return nil, ErrLineTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
