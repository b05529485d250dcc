"""Limits on simulated disk losses, so that the fleet keeps every command it has confirmed."""

from cypresswalk.lab.cluster.simulation.fleet_simulation import FleetSimulation
from cypresswalk.lab.cluster.simulation.process import Process


class DataLosses:
    """The disks lost so far: one may be lost at a time, and only while all others are intact.

    The fleet's guarantees cover only this case. Losing more disks at once stops the fleet; a
    separate test shows that nothing worse happens.
    """

    def __init__(self, simulation: FleetSimulation):
        """Start with no disk lost."""
        self._simulation = simulation
        self._lost: dict[str, str] = {}  # former member ids, by balancer name

    def permit(self, process: Process) -> bool:
        """Return whether the balancer may lose its disk now; if so, record the disk as lost."""
        leader = self._simulation.leader()
        if leader is None or not _has_committed_in_its_term(leader):
            return False
        self._forget_replaced(leader)
        disk_works = not (process.disk.failing or process.disk.full)
        others_have_data = (
            not self._lost and self._all_disks_written() and self._all_voters_known(leader)
        )
        if leader is process or process.member is None or not disk_works or not others_have_data:
            return False
        self._lost[process.name] = process.member.id
        return True

    def _forget_replaced(self, leader: Process) -> None:
        """Forget losses whose former incarnation has been removed from the members."""
        members = {member.id for member in leader.live_member.members}
        self._lost = {name: old for name, old in self._lost.items() if old in members}

    def _all_disks_written(self) -> bool:
        return all(process.disk.files for process in self._simulation.processes.values())

    def _all_voters_known(self, leader: Process) -> bool:
        """Return whether each voter belongs to a known process, running or stopped."""
        voters = {member.id for member in leader.live_member.members if member.voter}
        known = {
            process.member.id if process.member is not None else process.last_member_id
            for process in self._simulation.processes.values()
        }
        return voters <= known


def _has_committed_in_its_term(leader: Process) -> bool:
    node = leader.live_member.node
    return node is not None and node.log.term_at(node.commit_index) == node.term
