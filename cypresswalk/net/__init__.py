"""The balancer on blocking sockets: drivers, and the core that connects them to the decisions."""
