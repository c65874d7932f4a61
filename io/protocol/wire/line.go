package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrLineTooLong is returned for a line that is longer than the limit.
var ErrLineTooLong = errors.New("line is too long")

// ReadLine returns the next line without its end. A last line without an end
// is an [io.ErrUnexpectedEOF], as is the end of the input: streams say
// themselves when they are whole.
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
