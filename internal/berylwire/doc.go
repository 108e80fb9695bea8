// Package berylwire carries typed requests and answers between berylroad's own hosts.
//
// It uses QUIC with mutual TLS, CBOR bodies, and one stream for each request and its answer.
package berylwire
