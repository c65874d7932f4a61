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
// of the input. hold is called with the size of a line that does not fit into the
// buffer of r, and with 0 at its end; if it fails, so does ReadLine.
func ReadLine(r *bufio.Reader, limit int, hold func(size int) error) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > limit:
			return nil, ErrLineTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			if err := hold(cap(line)); err != nil {
				return nil, err
			}
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(line) > r.Size():
			if err := hold(0); err != nil {
				return nil, err
			}
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
