package berylfake

// kvHeader is the header of every response.
type kvHeader struct {
	ClusterID uint64 `json:"cluster_id,string"`
	MemberID  uint64 `json:"member_id,string"`
	Revision  int64  `json:"revision,string"`
	RaftTerm  uint64 `json:"raft_term,string"`
}

// kvRecord is a key and its value on the wire. Zero fields are omitted, as in the real gateway.
type kvRecord struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// kvRangeRequest requests the keys of a range.
type kvRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Limit    int64  `json:"limit,string"`
	Revision int64  `json:"revision,string"`
}

// kvRangeResponse holds the records of a range, or the first of them if More is set.
type kvRangeResponse struct {
	Header kvHeader   `json:"header"`
	Kvs    []kvRecord `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// kvPutRequest requests the write of one key.
type kvPutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

// kvOp is one operation of a transaction; exactly one field is set.
type kvOp struct {
	Put    *kvPutRequest   `json:"request_put"`
	Range  *kvRangeRequest `json:"request_range"`
	Delete *kvRangeRequest `json:"request_delete_range"`
}

// kvCompare is a condition of a transaction.
type kvCompare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	ModRevision    int64  `json:"mod_revision,string"`
	CreateRevision int64  `json:"create_revision,string"`
	Version        int64  `json:"version,string"`
	Value          []byte `json:"value"`
}

// kvTxnRequest is a transaction: Success runs if all comparisons hold, Failure otherwise.
type kvTxnRequest struct {
	Compare []kvCompare `json:"compare"`
	Success []kvOp      `json:"success"`
	Failure []kvOp      `json:"failure"`
}

// kvOpResponse is the response to a kvOp.
type kvOpResponse struct {
	Put    *kvPutResponse    `json:"response_put,omitempty"`
	Range  *kvRangeResponse  `json:"response_range,omitempty"`
	Delete *kvDeleteResponse `json:"response_delete_range,omitempty"`
}

// kvPutResponse is the response to a kvPutRequest, and also to the revocation of a lease.
type kvPutResponse struct {
	Header kvHeader `json:"header"`
}

// kvDeleteResponse says how many keys a deletion removed.
type kvDeleteResponse struct {
	Header  kvHeader `json:"header"`
	Deleted int64    `json:"deleted,string,omitempty"`
}

// kvTxnResponse says whether the comparisons of a transaction held, with one response for each operation that ran.
type kvTxnResponse struct {
	Header    kvHeader       `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
	Responses []kvOpResponse `json:"responses,omitempty"`
}

// kvLeaseRequest grants, renews or revokes a lease. The TTL is in seconds.
type kvLeaseRequest struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string"`
}

// kvLeaseResponse is the response to the grant or renewal of a lease. The TTL is in seconds.
type kvLeaseResponse struct {
	Header kvHeader `json:"header"`
	ID     int64    `json:"ID,string,omitempty"`
	TTL    int64    `json:"TTL,string,omitempty"`
}

// kvWatchRequest opens a watch.
type kvWatchRequest struct {
	Create *struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

// kvEvent is one change in a watch's stream.
type kvEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   kvRecord `json:"kv"`
}

// kvWatchResponse is one message of a watch.
type kvWatchResponse struct {
	Header          kvHeader  `json:"header"`
	Created         bool      `json:"created,omitempty"`
	Canceled        bool      `json:"canceled,omitempty"`
	CompactRevision int64     `json:"compact_revision,string,omitempty"`
	Events          []kvEvent `json:"events,omitempty"`
}
