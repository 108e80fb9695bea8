package berylfake

import (
	"bytes"
	"net/http"
	"time"
)

const (
	// platformCluster names the stand-in's cluster.
	platformCluster = 7001
	// grpcInvalid, grpcNotFound, grpcPrecondition and grpcOutOfRange are error codes of the gateway.
	grpcInvalid      = 3
	grpcNotFound     = 5
	grpcPrecondition = 9
	grpcOutOfRange   = 11
	grpcUnavailable  = 14
)

// kvError is an error answer of the gateway.
type kvError struct {
	status  int
	code    int
	message string
}

// errLeaseMissing answers a call that names a lease that is not there.
var errLeaseMissing = &kvError{http.StatusNotFound, grpcNotFound, "etcdserver: requested lease not found"}

// header returns the header for the present revision.
func (s *platformStore) header() kvHeader {
	return kvHeader{ClusterID: platformCluster, MemberID: 1, Revision: s.revision, RaftTerm: 1}
}

// wire converts a state for the wire.
func (v platformVersion) wire() kvRecord {
	return kvRecord{
		Key: []byte(v.key), Value: v.value, CreateRevision: v.create, ModRevision: v.mod, Version: v.version, Lease: v.lease,
	}
}

// readRange answers a range, from a state staleBy revisions old.
func (s *platformStore) readRange(ask kvRange, staleBy int64) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(ask.Key) == 0 {
		return nil, &kvError{http.StatusBadRequest, grpcInvalid, "etcdserver: key is not provided"}
	}
	header := s.header()
	header.Revision = max(1, s.revision-staleBy)
	if ask.Revision > s.revision {
		return nil, &kvError{http.StatusBadRequest, grpcOutOfRange, "etcdserver: mvcc: required revision is a future revision"}
	}
	if ask.Revision > 0 && ask.Revision < s.compacted {
		return nil, &kvError{http.StatusBadRequest, grpcOutOfRange, "etcdserver: mvcc: required revision has been compacted"}
	}
	return s.page(ask, header), nil
}

// page reads a range at the revision asked for, or else at the header's.
func (s *platformStore) page(ask kvRange, header kvHeader) kvPage {
	revision := header.Revision
	if ask.Revision > 0 {
		revision = ask.Revision
	}
	found := s.scan(string(ask.Key), string(ask.RangeEnd), revision)
	page := kvPage{Header: header, Count: int64(len(found))}
	if ask.Limit > 0 && int64(len(found)) > ask.Limit {
		found, page.More = found[:ask.Limit], true
	}
	for _, v := range found {
		page.Kvs = append(page.Kvs, v.wire())
	}
	return page
}

// transact runs a transaction at one new revision.
func (s *platformStore) transact(ask kvTxn) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := true
	for _, c := range ask.Compare {
		succeeded = succeeded && s.holds(c)
	}
	ops := ask.Failure
	if succeeded {
		ops = ask.Success
	}
	for _, op := range ops {
		if op.Put != nil && op.Put.Lease != 0 && s.leases[op.Put.Lease] == nil {
			return nil, errLeaseMissing
		}
	}
	revision := s.revision + 1
	answer := kvTxnAnswer{Succeeded: succeeded}
	for _, op := range ops {
		answer.Responses = append(answer.Responses, s.run(op, revision))
	}
	answer.Header = s.header()
	return answer, nil
}

// run carries out one step of a transaction.
func (s *platformStore) run(op kvOp, revision int64) kvOpAnswer {
	switch {
	case op.Put != nil:
		s.put(string(op.Put.Key), bytes.Clone(op.Put.Value), op.Put.Lease, revision)
		return kvOpAnswer{Put: &kvPutAnswer{Header: s.header()}}
	case op.Delete != nil:
		n := s.remove(string(op.Delete.Key), string(op.Delete.RangeEnd), revision)
		return kvOpAnswer{Delete: &kvDeleteAnswer{Header: s.header(), Deleted: int64(n)}}
	case op.Range != nil:
		page := s.page(*op.Range, s.header())
		return kvOpAnswer{Range: &page}
	default:
		return kvOpAnswer{}
	}
}

// holds reports whether a condition is true; a missing key has zero revisions.
func (s *platformStore) holds(c kvCompare) bool {
	v, found := s.at(string(c.Key), s.revision)
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

// putOne writes one key.
func (s *platformStore) putOne(ask kvPut) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ask.Lease != 0 && s.leases[ask.Lease] == nil {
		return nil, errLeaseMissing
	}
	s.put(string(ask.Key), bytes.Clone(ask.Value), ask.Lease, s.revision+1)
	return kvPutAnswer{Header: s.header()}, nil
}

// grant makes a lease.
func (s *platformStore) grant(ask kvLease, now time.Time) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[ask.ID] != nil {
		return nil, &kvError{http.StatusBadRequest, grpcPrecondition, "etcdserver: lease already exists"}
	}
	id := ask.ID
	if id == 0 {
		s.lastLease++
		id = s.lastLease
	}
	ttl := time.Duration(max(1, ask.TTL)) * time.Second
	s.leases[id] = &platformLease{ttl: ttl, expires: now.Add(ttl), keys: map[string]bool{}}
	return kvLeaseAnswer{Header: s.header(), ID: id, TTL: max(1, ask.TTL)}, nil
}

// keepAlive renews a lease; a lease that is gone is answered with a zero time to live, in a stream message.
func (s *platformStore) keepAlive(ask kvLease, now time.Time) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := struct {
		Result kvLeaseAnswer `json:"result"`
	}{kvLeaseAnswer{Header: s.header(), ID: ask.ID}}
	if l := s.leases[ask.ID]; l != nil {
		l.expires = now.Add(l.ttl)
		answer.Result.TTL = int64(l.ttl / time.Second)
	}
	return answer, nil
}

// revoke ends a lease.
func (s *platformStore) revoke(ask kvLease) (any, *kvError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[ask.ID]
	if l == nil {
		return nil, errLeaseMissing
	}
	s.endLease(ask.ID, l)
	return kvPutAnswer{Header: s.header()}, nil
}
