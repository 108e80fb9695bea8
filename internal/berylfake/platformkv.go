package berylfake

import (
	"bytes"
	"net/http"
	"time"
)

const (
	// platformClusterID is the cluster id in response headers.
	platformClusterID = 7001
	// grpcInvalid and the constants after it are the gRPC status codes that the gateway returns in errors.
	grpcInvalid      = 3
	grpcNotFound     = 5
	grpcPrecondition = 9
	grpcOutOfRange   = 11
	grpcUnavailable  = 14
)

// kvError is an error response of the gateway: the HTTP status, the gRPC status code and the message.
type kvError struct {
	status  int
	code    int
	message string
}

// errLeaseMissing is the error of a call that names a lease that does not exist.
var errLeaseMissing = &kvError{http.StatusNotFound, grpcNotFound, "etcdserver: requested lease not found"}

// header returns a response header with the present revision. The caller holds s.mu.
func (s *platformStore) header() kvHeader {
	return kvHeader{ClusterID: platformClusterID, MemberID: 1, Revision: s.revision, RaftTerm: 1}
}

// record converts a version to its form on the wire.
func (v platformVersion) record() kvRecord {
	return kvRecord{
		Key: []byte(v.key), Value: v.value, CreateRevision: v.create, ModRevision: v.mod, Version: v.version, Lease: v.lease,
	}
}

// readRange answers a range request from the state of staleBy revisions ago.
func (s *platformStore) readRange(req kvRangeRequest, staleBy int64) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(req.Key) == 0 {
		return nil, &kvError{http.StatusBadRequest, grpcInvalid, "etcdserver: key is not provided"}
	}
	header := s.header()
	header.Revision = max(1, s.revision-staleBy)
	if req.Revision > s.revision {
		return nil, &kvError{http.StatusBadRequest, grpcOutOfRange, "etcdserver: mvcc: required revision is a future revision"}
	}
	if req.Revision > 0 && req.Revision < s.compacted {
		return nil, &kvError{http.StatusBadRequest, grpcOutOfRange, "etcdserver: mvcc: required revision has been compacted"}
	}
	return s.page(req, header), nil
}

// page reads a range at the requested revision, or at the header's revision if the request names none.
func (s *platformStore) page(req kvRangeRequest, header kvHeader) kvRangeResponse {
	revision := header.Revision
	if req.Revision > 0 {
		revision = req.Revision
	}
	found := s.scan(string(req.Key), string(req.RangeEnd), revision)
	page := kvRangeResponse{Header: header, Count: int64(len(found))}
	if req.Limit > 0 && int64(len(found)) > req.Limit {
		found, page.More = found[:req.Limit], true
	}
	for _, v := range found {
		page.Kvs = append(page.Kvs, v.record())
	}
	return page
}

// transact executes a transaction; all its writes get the same new revision.
func (s *platformStore) transact(req kvTxnRequest) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := true
	for _, c := range req.Compare {
		succeeded = succeeded && s.compareHolds(c)
	}
	ops := req.Failure
	if succeeded {
		ops = req.Success
	}
	for _, op := range ops {
		if op.Put != nil && op.Put.Lease != 0 && s.leases[op.Put.Lease] == nil {
			return nil, errLeaseMissing
		}
	}
	revision := s.revision + 1
	answer := kvTxnResponse{Succeeded: succeeded}
	for _, op := range ops {
		answer.Responses = append(answer.Responses, s.runOp(op, revision))
	}
	answer.Header = s.header()
	return answer, nil
}

// runOp executes one operation of a transaction.
func (s *platformStore) runOp(op kvOp, revision int64) kvOpResponse {
	switch {
	case op.Put != nil:
		s.put(string(op.Put.Key), bytes.Clone(op.Put.Value), op.Put.Lease, revision)
		return kvOpResponse{Put: &kvPutResponse{Header: s.header()}}
	case op.Delete != nil:
		n := s.remove(string(op.Delete.Key), string(op.Delete.RangeEnd), revision)
		return kvOpResponse{Delete: &kvDeleteResponse{Header: s.header(), Deleted: int64(n)}}
	case op.Range != nil:
		page := s.page(*op.Range, s.header())
		return kvOpResponse{Range: &page}
	default:
		return kvOpResponse{}
	}
}

// compareHolds reports whether a condition of a transaction is true. A missing key has revisions and version zero.
func (s *platformStore) compareHolds(c kvCompare) bool {
	v, found := s.versionAt(string(c.Key), s.revision)
	if c.Target == "VALUE" {
		return found && c.Result == "EQUAL" && bytes.Equal(v.value, c.Value)
	}
	have, want := v.mod, c.ModRevision
	switch c.Target {
	case "CREATE":
		have, want = v.create, c.CreateRevision
	case "VERSION":
		have, want = v.version, c.Version
	}
	switch c.Result {
	case "GREATER":
		return have > want
	case "LESS":
		return have < want
	case "NOT_EQUAL":
		return have != want
	default:
		return have == want
	}
}

// putKey writes a key outside a transaction.
func (s *platformStore) putKey(req kvPutRequest) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Lease != 0 && s.leases[req.Lease] == nil {
		return nil, errLeaseMissing
	}
	s.put(string(req.Key), bytes.Clone(req.Value), req.Lease, s.revision+1)
	return kvPutResponse{Header: s.header()}, nil
}

// grant creates a lease.
func (s *platformStore) grant(req kvLeaseRequest, now time.Time) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[req.ID] != nil {
		return nil, &kvError{http.StatusBadRequest, grpcPrecondition, "etcdserver: lease already exists"}
	}
	id := req.ID
	if id == 0 {
		s.lastLease++
		id = s.lastLease
	}
	ttl := time.Duration(max(1, req.TTL)) * time.Second
	s.leases[id] = &platformLease{ttl: ttl, expires: now.Add(ttl), keys: map[string]bool{}}
	return kvLeaseResponse{Header: s.header(), ID: id, TTL: max(1, req.TTL)}, nil
}

// keepAlive renews a lease. The response has the form of a stream message; for a lease that no longer exists its TTL is zero.
func (s *platformStore) keepAlive(req kvLeaseRequest, now time.Time) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := struct {
		Result kvLeaseResponse `json:"result"`
	}{kvLeaseResponse{Header: s.header(), ID: req.ID}}
	if l := s.leases[req.ID]; l != nil {
		l.expires = now.Add(l.ttl)
		answer.Result.TTL = int64(l.ttl / time.Second)
	}
	return answer, nil
}

// revoke ends a lease and deletes its keys.
func (s *platformStore) revoke(req kvLeaseRequest) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[req.ID]
	if l == nil {
		return nil, errLeaseMissing
	}
	s.endLease(req.ID, l)
	return kvPutResponse{Header: s.header()}, nil
}
