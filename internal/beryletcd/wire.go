package beryletcd

// wireHeader is part of every answer of the gateway.
type wireHeader struct {
	ClusterID uint64 `json:"cluster_id,string"`
	Revision  int64  `json:"revision,string"`
}

// wireAnswer is the body of an answer. complete reports whether it has all fields that the gateway always sends, so
// that an answer from another server is not mistaken for one that says that nothing was done.
type wireAnswer interface {
	complete() bool
}

// valid reports whether the header was sent by the gateway: revisions start at one.
func (h wireHeader) valid() bool {
	return h.Revision > 0
}

// wireRecord is the gateway's form of a record.
type wireRecord struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

// record converts to the exported type.
func (w wireRecord) record() Record {
	return Record{Key: string(w.Key), Value: w.Value, Revision: w.ModRevision, Lease: w.Lease}
}

// wireRange selects one key, or the keys from Key up to but not including RangeEnd.
type wireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	Revision int64  `json:"revision,string,omitempty"`
}

// wirePage is the answer to a wireRange.
type wirePage struct {
	Header wireHeader   `json:"header"`
	Kvs    []wireRecord `json:"kvs"`
	More   bool         `json:"more"`
}

// wirePut writes a key inside a transaction.
type wirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// complete implements wireAnswer.
func (p wirePage) complete() bool {
	return p.Header.valid()
}

// wireOp is one operation of a transaction; exactly one field is set.
type wireOp struct {
	Put    *wirePut   `json:"request_put,omitempty"`
	Range  *wireRange `json:"request_range,omitempty"`
	Delete *wireRange `json:"request_delete_range,omitempty"`
}

// wireCompare is the condition that Key has ModRevision; zero means that it is absent.
type wireCompare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// wireTxn is a transaction: it runs Success if every Compare holds and Failure otherwise.
type wireTxn struct {
	Compare []wireCompare `json:"compare"`
	Success []wireOp      `json:"success"`
	Failure []wireOp      `json:"failure"`
}

// wireTxnAnswer is the answer to a wireTxn.
type wireTxnAnswer struct {
	// request is the transaction that was sent; complete checks the answer against it.
	request   *wireTxn
	Header    wireHeader `json:"header"`
	Succeeded bool       `json:"succeeded"`
	Responses []struct {
		Range *wirePage `json:"response_range"`
	} `json:"responses"`
}

// complete implements wireAnswer. Every operation of the executed branch must have a response, and those of the failure
// branch, which are reads, must hold the records found.
func (a wireTxnAnswer) complete() bool {
	if a.Succeeded {
		return a.Header.valid() && len(a.Responses) == len(a.request.Success)
	}
	for _, r := range a.Responses {
		if r.Range == nil {
			return false
		}
	}
	return a.Header.valid() && len(a.Responses) == len(a.request.Failure)
}

// wireLease is the answer to a lease call.
type wireLease struct {
	Header wireHeader `json:"header"`
	TTL    int64      `json:"TTL,string"`
}

// complete implements wireAnswer.
func (l wireLease) complete() bool {
	return l.Header.valid()
}

// wireKeepAlive is the answer to a keep-alive call, which is one message of a stream.
type wireKeepAlive struct {
	Result wireLease `json:"result"`
}

// complete implements wireAnswer.
func (k wireKeepAlive) complete() bool {
	return k.Result.complete()
}

// prefixEnd returns the first key after all keys with the prefix. If there is none, it returns a zero byte, which the
// service takes as the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
