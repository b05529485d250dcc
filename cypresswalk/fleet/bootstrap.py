"""How a group begins and how a balancer finds one: hails, and their answers. A part of `member.Member`, in a file of its own. No I/O, no clock.

A group is founded once: by the first member lowest in name, when every other first member has said, lately and with the same
first members in its table, that it belongs to none. Whoever finds a group joins it as a follower under an incarnation of its own."""

import logging

from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.messages import Member as One
from cypresswalk.agreement.messages import Members
from cypresswalk.agreement.node import BusyError, PersistentState
from cypresswalk.fleet.messages import DiscoveryRequest, DiscoveryResponse

log = logging.getLogger(__name__)
SECOND = 1_000_000_000
FRESH = 2 * SECOND  # an answer to a hail says nothing about later
LOST = 3 * SECOND  # a member that heard no leader for so long looks for one as if it had none
MEMBERS = 207  # seven voters and two hundred that follow


class Founding:
    def look_for_group(self, now: int) -> None:
        node = self.node
        if node is not None and (
            self.leads
            or node.heard_at is not None
            and now - node.heard_at < LOST
            and any(m.id == self.id for m in self.members)
        ):
            return
        hail = DiscoveryRequest(
            self.id,
            self.group,
            self.about.address,
            self.about.zone,
            self.about.first_digest,
            self.about.founder,
        )
        seen = {self.about.address}
        for address in (
            [address for _, address in self.about.first]
            + [m.address for m in self.members]
            + [m.address for _, answer in self.hails.values() for m in answer.members]
        ):
            if address and address not in seen:
                seen.add(address)
                self.sends.append((address, hail))
        if node is None:
            self.found(now)

    def found(self, now: int) -> None:
        others = [name for name, _ in self.about.first if name != self.about.name]
        if not self.about.founder or any(name < self.about.name for name in others):
            return
        answers = [self.hails.get(name) for name in others]
        if any(
            a is None or now - a[0] > FRESH or a[1].group or a[1].first != self.about.first_digest
            for a in answers
        ):
            return
        addresses = dict(self.about.first)
        members = (
            One(self.id, True, self.about.address, self.about.zone),
            *(
                One(a[1].members[0].id, True, addresses[name], a[1].members[0].zone)
                for name, a in zip(others, answers)
            ),
        )
        self.adopt(
            now,
            f"{self.about.fleet}-{self.chance.getrandbits(64):016x}",
            Snapshot(0, 0, members, b""),
        )
        log.info("event=founded group=%s members=%s", self.group, ",".join(m.id for m in members))

    def adopt(self, now: int, group: str, snapshot: Snapshot) -> None:
        self.group = group
        kept = PersistentState(snapshot)
        self.begin = group, kept
        self.start(kept, now)

    def hailed(self, now: int, hail: DiscoveryRequest) -> None:
        name = hail.id.partition("#")[0]
        refused = ""
        if (
            self.node is None
            and hail.founder
            and self.about.founder
            and hail.first != self.about.first_digest
        ):
            self.once(
                "first_members_differ",
                here=self.about.first_digest,
                there=hail.first,
                member=hail.id,
            )
            refused = "the first members in its table are others than in mine"
        elif name == self.about.name and hail.id != self.id:
            refused = "that name is mine"
        elif self.leads and not any(m.id == hail.id for m in self.members):
            if hail.group == self.group:
                # Only a leader that is sure to lead still may say so: a voter's copy of the log goes with its identity.
                try:
                    self.node.read(now, ("replaced", hail))
                except BusyError:
                    pass
                return
            refused = (
                self.may_join(now, name, hail) if not hail.group else "it belongs to another group"
            )
        self.answer_hail(hail, refused)

    def answer_hail(
        self, hail: DiscoveryRequest, refused: str = "", replaced: bool = False
    ) -> None:
        if self.node is None:
            # Its own entry alone: so the founder learns under which incarnation it would begin.
            members: Members = (One(self.id, False, self.about.address, self.about.zone),)
        else:
            members = self.members
        self.sends.append(
            (
                hail.address,
                DiscoveryResponse(
                    hail.id,
                    self.group,
                    self.about.first_digest,
                    members,
                    self.leader,
                    refused,
                    replaced,
                    self.agreed.state.fenced_groups,
                ),
            )
        )

    def may_join(self, now: int, name: str, hail: DiscoveryRequest) -> str:
        if name in self.agreed.state.departed:
            return "it has left the fleet; `fleet join` lets it in again"
        if len(self.members) >= MEMBERS:
            return f"the fleet has {MEMBERS} members"
        for member in self.members:
            peer = self.node.peers.get(member.id)
            # Guards against two processes of one name that replace each other in turn.
            if (
                member.name == name
                and peer is not None
                and peer.answered
                and now - peer.heard_at < FRESH
            ):
                return "a balancer of that name is heard still"
        self.joining[name] = now, hail
        return ""

    def hail_answered(self, now: int, answer: DiscoveryResponse) -> None:
        if answer.id != self.id:
            return
        if answer.refused:
            self.once("hail_refused", why=answer.refused)
        for member in answer.members[:1] if not answer.group else ():
            self.hails[member.name] = now, answer
        if not answer.group:
            return
        self.hails["@" + answer.leader] = now, answer
        while len(self.hails) > 32:
            del self.hails[next(iter(self.hails))]
        if self.node is None:
            if any(m.id == self.id for m in answer.members):
                self.adopt(now, answer.group, Snapshot(-1, 0, (), b""))
                log.info("event=joined group=%s member=%s", self.group, self.id)
        elif answer.group != self.group:
            if self.group in answer.fenced:
                self.reborn = f"group {self.group} was fenced off; {answer.group} took its place"
            else:
                self.once("another_group", here=self.group, there=answer.group)
        elif answer.replaced:
            self.reborn = "another incarnation of this name took its place, or it was never let in"
