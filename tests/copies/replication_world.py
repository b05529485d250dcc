"""Simulation of the replicas of one partition, with random faults determined by a seed."""

from random import Random

from cypresswalk.copies.effects import AnswerRequest, SendMessage, StoredChange, WriteChange
from cypresswalk.copies.messages import AnyMessage, PartitionMessage
from cypresswalk.copies.replica import Replica

MEMBERS = 5
REPLICAS = 3
PARTITION = 0
KEYS = 40
CLIENTS = 4
# Expiry time of reservations; no run reaches it.
NEVER = 1 << 60

# Each step draws a random number; the first of these limits that exceeds it selects the action.
CRASH_BELOW = 0.003
RESTART_BELOW = 0.04
LOSE_DISK_BELOW = 0.042
BEGIN_VIEW_BELOW = 0.25
RESERVE_BELOW = 0.50
RESEND_BELOW = 0.55
CHANGE_VIEW_BELOW = 0.60

NEWEST_VIEW_PROBABILITY = 0.5
COMPARE_PROBABILITY = 0.1
VIEW_CHANGE_PROBABILITY = 0.04
LOSS_PROBABILITY = 0.1
DUPLICATION_PROBABILITY = 0.1
CRASH_AMID_EFFECTS_PROBABILITY = 0.03
WRONG_LEADER_PROBABILITY = 0.2


class ReplicationSimulation:
    """Members with replicas of one partition, their disks and links, and the agreed views.

    It checks one rule: a key is granted to only one client.

    Attributes:
        replicas: The replica of each member; None while its process does not run.
        disks: The changes that each member has written.
        messages: Messages in transit: sender, receiver and content.
        views: The number and the replicas of each agreed view.
        next_members: The replicas of the next view during a view change; otherwise empty.
        complete_in_next: Members that the leader believes to be complete for the next view.
        granted: The client that was granted a key, by key.
    """

    def __init__(self, seed: int, replica_class: type[Replica] = Replica) -> None:
        """Start the members and agree on the first view."""
        self.random = Random(seed)
        self.replica_class = replica_class
        self.members = [f"m{i}" for i in range(MEMBERS)]
        self.disks: dict[str, list[StoredChange]] = {name: [] for name in self.members}
        self.replicas: dict[str, Replica | None] = {
            name: replica_class(name) for name in self.members
        }
        self.messages: list[tuple[str, str, AnyMessage]] = []
        self.views: list[tuple[int, tuple[str, ...]]] = []
        self.next_members: tuple[str, ...] = ()
        self.complete_in_next: set[str] = set()
        self.granted: dict[str, str] = {}
        self.lost_disks = 0
        first = tuple(self.members[:REPLICAS])
        for name in first:
            self._running(name).fetch(PARTITION, 1, "")
            self.carry_out_effects(name)
        self.agree_on_view(first)

    @property
    def view(self) -> int:
        """Return the number of the newest view."""
        return self.views[-1][0] if self.views else 0

    def _running(self, name: str) -> Replica:
        """Return the replica of a member whose process runs."""
        replica = self.replicas[name]
        assert replica is not None, name
        return replica

    def agree_on_view(self, members: tuple[str, ...]) -> None:
        """Agree on these members as the replicas of the next view."""
        self.views.append((self.view + 1, members))

    def carry_out_effects(self, name: str, crash_after: int | None = None) -> None:
        """Carry out the effects of a replica in order.

        Args:
            name: The member.
            crash_after: The number of effects after which its process crashes; None for no crash.
        """
        replica = self._running(name)
        while replica.effects:
            if crash_after == 0:
                self.replicas[name] = None
                return
            if crash_after is not None:
                crash_after -= 1
            match replica.effects.pop(0):
                case WriteChange(change):
                    self.disks[name].append(change)
                case SendMessage(receiver, message):
                    self.messages.append((name, receiver, message))
                case AnswerRequest((str(key), str(client)), answer) if answer.result == "granted":
                    owner = self.granted.setdefault(key, client)
                    assert owner == client, f"{key} granted to {owner} and {client}"

    def step(self) -> None:
        """Perform one random action at one member."""
        name = self.random.choice(self.members)
        draw = self.random.random()
        if draw < RESTART_BELOW:
            self._crash_or_restart(name, draw)
        elif draw < LOSE_DISK_BELOW and self._is_complete_at_another(name):
            self._lose_disk(name)
        elif self.replicas[name] is not None:
            self._act(name, draw)

    def _crash_or_restart(self, name: str, draw: float) -> None:
        if self.replicas[name] is None:
            replica = self.replica_class(name)
            replica.restore(self.disks[name])
            self.replicas[name] = replica
        elif draw < CRASH_BELOW:
            self.replicas[name] = None

    def _lose_disk(self, name: str) -> None:
        """Replace a member whose disk is lost by a new incarnation with an empty disk.

        Under its old name it would be a replica of agreed views whose records it no longer has.
        """
        self.lost_disks += 1
        replacement = f"{name.partition('.')[0]}.{self.lost_disks}"
        self.members[self.members.index(name)] = replacement
        self.replicas[name] = None
        self.replicas[replacement] = self.replica_class(replacement)
        self.disks[replacement] = []

    def _act(self, name: str, draw: float) -> None:
        replica = self._running(name)
        active: str | None = name
        if draw < BEGIN_VIEW_BELOW:
            self._begin_view(replica)
        elif draw < RESERVE_BELOW:
            key = f"i{self.random.randrange(KEYS)}"
            client = f"c{self.random.randrange(CLIENTS)}"
            replica.reserve(0, PARTITION, key, client, NEVER, (key, client))
        elif draw < RESEND_BELOW:
            replica.resend_pending(PARTITION)
            if self.random.random() < COMPARE_PROBABILITY:
                replica.compare_digests(PARTITION)
        elif draw < CHANGE_VIEW_BELOW:
            if self.next_members or self.random.random() < VIEW_CHANGE_PROBABILITY:
                self._change_view()
        elif self.messages:
            active = self._deliver_any(name)
        if active is not None:
            crashes = self.random.random() < CRASH_AMID_EFFECTS_PROBABILITY
            self.carry_out_effects(active, self.random.randrange(4) if crashes else None)

    def _begin_view(self, replica: Replica) -> None:
        """Let a replica begin the newest view, or the one after its own."""
        if self.random.random() < NEWEST_VIEW_PROBABILITY:
            view = self.views[-1]
        else:
            view = self.views[min(replica.partition(PARTITION).view, len(self.views) - 1)]
        replica.begin_view(PARTITION, *view)

    def _deliver_any(self, name: str) -> str | None:
        """Deliver a random message, lose it, or deliver it and keep it for a second delivery.

        Returns:
            The member whose effects to carry out next: the receiver, `name` if the receiver does
            not run, or None if the message is lost.
        """
        sender, receiver, message = self.messages.pop(self.random.randrange(len(self.messages)))
        if self.random.random() < LOSS_PROBABILITY:
            return None
        if self.random.random() < DUPLICATION_PROBABILITY:
            self.messages.append((sender, receiver, message))
        replica = self.replicas[receiver]
        if replica is None:
            return name
        assert isinstance(message, PartitionMessage)
        replica.on_message(sender, message)
        return receiver

    def _is_complete_at_another(self, name: str) -> bool:
        """Return whether another replica is complete in the newest view.

        Only then a disk may be lost.
        """
        for other in self.views[-1][1]:
            replica = self.replicas[other]
            if other == name or replica is None:
                continue
            partition = replica.partition(PARTITION)
            if partition.complete and partition.view == self.view:
                return True
        return False

    def _change_view(self) -> None:
        """Prepare the next view as the leader does.

        Incomplete replicas of the next view fetch all records from a sealed replica of the newest
        view. The next view is agreed once all its replicas are complete.
        """
        if not self.next_members or not set(self.next_members) <= set(self.members):
            self.next_members = tuple(self.random.sample(self.members, REPLICAS))
            self.complete_in_next = set()
        source = self._sealed_replica()
        if source is None:
            self.next_members = ()
            return
        self.carry_out_effects(source)
        for name in self.next_members:
            self._prepare(name, source)
        # A leader may wrongly take replicas for complete; each replica checks that for itself.
        if len(self.complete_in_next) == REPLICAS or (
            self.complete_in_next and self.random.random() < WRONG_LEADER_PROBABILITY
        ):
            self.agree_on_view(self.next_members)
            self.next_members = ()

    def _sealed_replica(self) -> str | None:
        """Return a sealed replica of the newest view; seal one if none is sealed."""
        for name in self.views[-1][1]:
            replica = self.replicas[name]
            if replica is None:
                continue
            partition = replica.partition(PARTITION)
            if partition.sealed and partition.view == self.view:
                return name
            if replica.seal(PARTITION, self.view):
                return name
        return None

    def _prepare(self, name: str, source: str) -> None:
        """Note that a member of the next view is complete, or let it fetch the records."""
        replica = self.replicas[name]
        if replica is None:
            return
        partition = replica.partition(PARTITION)
        is_complete = (
            partition.view == self.view and partition.complete and name in self.views[-1][1]
        )
        if is_complete or partition.fetched_view == self.view + 1:
            self.complete_in_next.add(name)
            return
        self.complete_in_next.discard(name)
        replica.fetch(PARTITION, self.view + 1, source)
        self.carry_out_effects(name)
