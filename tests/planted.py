"""Mistakes for the explorer to find: each takes one guard out of the program."""

from cypresswalk.agreement.node import Node, Role
from cypresswalk.agreement.store import Store
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.lease_client import LeaseClient
from cypresswalk.fleet.leases import LeaseGrants
from cypresswalk.fleet.transport import Transport


def vote_not_flushed(patch):
    write = Store.write

    def careless(self, work):
        work.vote = work.vote if work.snapshot is not None else None
        write(self, work)

    patch.setattr(Store, "write", careless)


def answer_before_the_flush(patch):
    carry_out = FleetThread.carry_out

    def early(self, member):
        take = member.take

        def taken():
            step = take()
            if step is not None and step.ready is not None:
                for to, frame in step.messages:
                    self.router.send(member, to, frame)
                step.messages = []
            return step

        member.take = taken
        try:
            carry_out(self, member)
        finally:
            del member.take

    patch.setattr(FleetThread, "carry_out", early)


def lease_from_the_answer(patch):
    def granted(self, now, grant):
        if grant.number in self.lease.outstanding:
            self.lease.outstanding[grant.number] = now
        self.lease.on_grant(grant.number, grant.version)

    patch.setattr(LeaseClient, "on_grant", granted)


def lapsed_without_waiting(patch):
    patch.setattr(
        LeaseGrants,
        "lapsed",
        lambda self, now, member: now >= self.granted_at.get(member, 0) + self.span // 4,
    )


def wiped_voter_under_its_name(patch):
    def blank(self):
        self.boot, self.start_nonce = self.starts_of_it, self.random.getrandbits(63)
        self._make_member(f"{self.table.name}#0", "", None)

    patch.setattr(FleetThread, "_begin_blank", blank)
    patch.setattr(
        FleetThread, "starts_of_it", property(lambda self: self.process.starts), raising=False
    )


def followers_and_removed_are_counted(patch):
    def counted(self, now, source, granted):
        self.votes[source] = granted
        if sum(self.votes.values()) >= self.majority(len(self.voters)):
            self.campaign(now) if self.role is Role.ASKING else self.take_lead(now)

    patch.setattr(Node, "counted", counted)
    patch.setattr(
        Node,
        "call",
        lambda self, word: [self.say(m.id, word) for m in self.log.members if m.id != self.me],
    )


def failed_flush_is_forgotten(patch):
    write = Store.write

    def careless(self, work):
        try:
            write(self, work)
        except OSError:
            self.broken = False

    patch.setattr(Store, "write", careless)


def put_back_folder_is_believed(patch):
    """By itself, and by the others: either guard alone finds it."""
    patch.setattr(Store, "check_witness", lambda self, file: None)
    rejection_of = Transport.rejection_of

    def careless(self, hello):
        rejected = rejection_of(self, hello)
        return rejected if rejected is not None and rejected.code != "put-back" else None

    patch.setattr(Transport, "rejection_of", careless)


def logs_not_compared(patch):
    """A vote goes to whoever asks first, however little it has."""
    asked = Node.asked_to_vote

    def careless(self, now, source, word):
        asked(self, now, source, type(word)(word.term, 1 << 60, 1 << 60, word.early, word.forced))

    patch.setattr(Node, "asked_to_vote", careless)


def older_term_committed_by_count(patch):
    settle = Node.settle

    def counted(self, now):
        have = sorted(
            (
                self.durable if v == self.me else self.peers[v].match if v in self.peers else 0
                for v in self.voters
            )
        )
        self.commit = max(self.commit, have[(len(have) - 1) // 2])
        settle(self, now)

    patch.setattr(Node, "settle", counted)
