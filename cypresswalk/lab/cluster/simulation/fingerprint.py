"""Fingerprints of a simulation's states, without times, to measure a search's coverage."""

import hashlib
from collections.abc import Collection

from cypresswalk.agreement.node import Node
from cypresswalk.lab.cluster.simulation.network import Network
from cypresswalk.lab.cluster.simulation.process import Process

DIGEST_SIZE = 8  # bytes


def fingerprint(processes: Collection[Process], network: Network) -> bytes:
    """Return a digest of each process's state and of the cut links.

    Terms enter it as differences from the highest term.
    """
    highest_term = max((node.term for node in map(_node, processes) if node is not None), default=0)
    summaries = [_summarize_process(process, highest_term) for process in processes]
    text = repr((summaries, sorted(network.cuts)))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_SIZE).digest()


def _node(process: Process) -> Node | None:
    return process.member.node if process.member is not None else None


def _summarize_process(process: Process, highest_term: int) -> tuple[object, ...]:
    node = _node(process)
    return (
        process.fleet is None,
        process.member is None,
        _summarize_node(node, highest_term) if node is not None else None,
        process.may_act,
        process.applied_version,
        process.is_frozen,
        process.disk.failing or process.disk.full,
    )


def _summarize_node(node: Node, highest_term: int) -> tuple[object, ...]:
    return (
        node.role.value,
        node.term - highest_term,
        node.log.last_index - node.commit_index,
        len(node.log.members),
        node.is_voter(),
        node.leader.partition("#")[0],
        node.is_receiving_snapshot,
    )
