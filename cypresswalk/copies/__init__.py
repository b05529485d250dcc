"""What a balancer holds for others: claims on the ids of flows that must not run twice, each at several holders. No I/O, no clock.

`claims.Holder` is one balancer's copy of the parts that it holds; `places` says who holds which part. Design: docs/design/copies.md."""
