"""Which states a simulation has met, without times and terms: how much of them a search covers."""

import hashlib
from collections.abc import Collection

from cypresswalk.agreement.node import Node
from cypresswalk.lab.cluster.simulation.network import Network
from cypresswalk.lab.cluster.simulation.process import Process

DIGEST_SIZE = 8  # bytes


def fingerprint(processes: Collection[Process], network: Network) -> bytes:
    """A digest of the state of each process and of the links that are cut."""
    highest_term = max((node.term for node in map(_node, processes) if node is not None), default=0)
    shapes = [_process_shape(process, highest_term) for process in processes]
    text = repr((shapes, sorted(network.cuts)))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_SIZE).digest()


def _node(process: Process) -> Node | None:
    return process.member.node if process.member is not None else None


def _process_shape(process: Process, highest_term: int) -> tuple[object, ...]:
    node = _node(process)
    return (
        process.fleet is None,
        process.member is None,
        _node_shape(node, highest_term) if node is not None else None,
        process.acts,
        process.acts_on,
        process.is_frozen,
        process.disk.failing or process.disk.full,
    )


def _node_shape(node: Node, highest_term: int) -> tuple[object, ...]:
    return (
        node.role.value,
        node.term - highest_term,
        node.log.last_index - node.commit_index,
        len(node.log.members),
        node.is_voter(),
        node.leader.partition("#")[0],
        node.is_receiving_snapshot,
    )
