"""The network code of the balancer: drivers for blocking sockets, and the core that uses them."""
