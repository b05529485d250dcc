"""Parsers of what arrives over sockets: state machines that are fed bytes and do no I/O."""
