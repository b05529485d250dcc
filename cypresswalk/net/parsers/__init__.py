"""Parsers of what comes over sockets: state machines that are fed bytes and do no I/O."""
