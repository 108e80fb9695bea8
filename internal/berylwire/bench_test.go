package berylwire_test

import (
	"context"
	"testing"

	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylwire"
)

// BenchmarkCall measures a request for a permit over loopback, with both hosts in this process.
func BenchmarkCall(b *testing.B) {
	hosts := newTestHosts(b)
	server := hosts.listen(berylwire.Config{Name: "host-b"})
	berylwire.Handle(server, "permit-ask", func(_ context.Context, _ string, request berylpermit.Request) (berylpermit.Reply, error) {
		return berylpermit.Reply{ID: request.ID, Verdict: berylpermit.Granted, Upstream: "ribdesk-llm-12"}, nil
	})
	peer := hosts.serve(server)
	client := hosts.listen(berylwire.Config{Name: "host-a"})
	request := berylpermit.Request{ID: berylpermit.ID{Host: "host-a", Boot: 1, Seq: 2}, Target: "ribdesk-llm", Tokens: 300}
	call := func(b *testing.B) {
		_, err := berylwire.Call[berylpermit.Request, berylpermit.Reply](b.Context(), client, peer, "permit-ask", request)
		if err != nil {
			b.Fatal(err)
		}
	}
	b.Run("one at a time", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			call(b)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				call(b)
			}
		})
	})
	b.Run("first of a connection", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			client = hosts.listen(berylwire.Config{Name: "host-a"})
			call(b)
			client.Close()
		}
	})
}
