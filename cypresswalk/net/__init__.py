"""The balancer on blocking sockets: drivers, and the core that joins them to the decisions."""
