"""Every decision of the balancer, without I/O and without a clock of its own.

`balancer.Balancer` is what hosts call: it takes events and yields decisions. Each other module
holds one rule with its state and its constants: health checks, outlier ejection, concurrency
limits, slow start, admission, placement, retries, migration and gossip.
"""
