package berylstore

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// UnknownFields holds the fields of a record that a newer build has written and this one does not know, by their numbers. Whoever rewrites
// the record keeps them.
type UnknownFields map[uint64]cbor.RawMessage

// canonical encodes the same record to the same bytes.
var canonical = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// DecodeRecord decodes a record with numbered fields into the struct that record points to, and returns the fields that the struct does
// not have, or nil if there are none.
func DecodeRecord(data []byte, record any) (UnknownFields, error) {
	if err := cbor.Unmarshal(data, record); err != nil {
		return nil, errors.WithStack(err)
	}
	var fields UnknownFields
	if err := cbor.Unmarshal(data, &fields); err != nil {
		return nil, errors.WithStack(err)
	}
	structType := reflect.TypeOf(record).Elem()
	for i := range structType.NumField() {
		number, _, _ := strings.Cut(structType.Field(i).Tag.Get("cbor"), ",")
		if n, err := strconv.ParseUint(number, 10, 64); err == nil {
			delete(fields, n)
		}
	}
	if len(fields) == 0 {
		return nil, nil
	}
	return fields, nil
}

// EncodeRecord encodes a record with numbered fields together with those that DecodeRecord returned.
func EncodeRecord(record any, unknown UnknownFields) ([]byte, error) {
	data, err := cbor.Marshal(record)
	if err != nil || len(unknown) == 0 {
		return data, errors.WithStack(err)
	}
	var fields UnknownFields
	if err := cbor.Unmarshal(data, &fields); err != nil {
		return nil, errors.WithStack(err)
	}
	for number, value := range unknown {
		fields[number] = value
	}
	data, err = canonical.Marshal(fields)
	return data, errors.WithStack(err)
}
