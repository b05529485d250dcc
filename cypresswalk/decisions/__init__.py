"""All decisions of the balancer, without I/O and without a clock of their own.

Hosts call `balancer.Balancer`, which takes events and returns decisions. Every other module holds
one rule with its state and constants: health checks, outlier ejection, concurrency limits, slow
start, admission, placement, retries, migration and gossip.
"""
