"""Parsers of data received from sockets: state machines that take bytes and do no I/O."""
