"""Which balancer may lose its disk, so that the fleet has still all that it promised."""

from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.cluster.simulation.world import World


class DataLosses:
    """Decides whose disk may be lost: one at a time, and while all others have their data.

    What is promised is promised for that. More lost at once stop the fleet; a test of its own shows
    that they do nothing worse.
    """

    def __init__(self, world: World):
        """No disk was lost yet."""
        self._world = world
        self._lost: dict[str, str] = {}  # the id that each had, by name

    def permit(self, process: Process) -> bool:
        """Whether that balancer may lose its disk now; it counts as lost if so."""
        leader = self._world.leader()
        if leader is None or not _has_committed_in_its_term(leader):
            return False
        self._forget_replaced(leader)
        is_sound = not (process.disk.failing or process.disk.full)
        others_have_data = (
            not self._lost and self._all_disks_written() and self._all_voters_known(leader)
        )
        if leader is process or process.member is None or not is_sound or not others_have_data:
            return False
        self._lost[process.name] = process.member.id
        return True

    def _forget_replaced(self, leader: Process) -> None:
        """A loss is over once the old incarnation is no member any more."""
        members = {member.id for member in leader.live_member.members}
        self._lost = {name: old for name, old in self._lost.items() if old in members}

    def _all_disks_written(self) -> bool:
        return all(process.disk.files for process in self._world.processes.values())

    def _all_voters_known(self, leader: Process) -> bool:
        """Whether each voter runs, or has its disk."""
        voters = {member.id for member in leader.live_member.members if member.voter}
        known = {
            process.member.id if process.member is not None else process.last_member_id
            for process in self._world.processes.values()
        }
        return voters <= known


def _has_committed_in_its_term(leader: Process) -> bool:
    node = leader.live_member.node
    return node is not None and node.log.term_at(node.commit_index) == node.term
