package berylresponse

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestBudget(t *testing.T) {
	is := is.New(t)
	const limit = 256 << 10
	budget := &Budget{Limit: 100 << 10}
	data := bytes.Repeat([]byte("x"), limit)

	small := budget.NewReservation()
	buffer, err := small.Append(nil, data[:FreeBytes], limit)
	is.NoErr(err)
	is.Equal(len(buffer), FreeBytes)
	is.Equal(budget.Held(), int64(0)) // what every response may hold

	first := budget.NewReservation()
	buffer, err = first.Append(nil, data[:64<<10], limit)
	is.NoErr(err)
	is.Equal(cap(buffer), 64<<10)
	is.Equal(budget.Held(), int64(64<<10-FreeBytes))

	second := budget.NewReservation()
	buffer, err = second.Append(nil, data, limit)
	is.True(errors.Is(err, ErrNoRoom))
	is.True(bytes.Equal(buffer, data[:len(buffer)])) // what there was room for
	is.Equal(len(buffer), 64<<10)
	second.Release()
	first.Release()
	first.Release() // no effect
	is.Equal(budget.Held(), int64(0))

	buffer, err = (*Budget)(nil).NewReservation().Append(nil, data, limit)
	is.NoErr(err)
	is.True(bytes.Equal(buffer, data))
	is.Equal(cap(buffer), limit)
}
