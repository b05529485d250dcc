"""Adapter to the bench, a program that drives many balancer instances over stdin and stdout.

Decodes the bench's events, hosts the instances and encodes their decisions.
"""
