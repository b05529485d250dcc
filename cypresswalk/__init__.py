"""cypresswalk: a balancer for long-lived connections."""
