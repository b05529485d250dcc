"""One member of the group. How it is called: `heard`, `passed`, `propose`, `change`, `read`, `hand_over`, `compact` say what
happens; after each the owner takes `take()` until that is None and for each piece of work writes it, flushed, then calls
`written`, then sends its words and applies what it names as agreed. One thread alone calls it. Times are whole nanoseconds
of a clock that goes on while the machine sleeps.

Invariants (docs/design/agreement.md): A1 one leader a term; A2 logs that agree at an index and term agree before it; A3 what is
agreed stays; A4 no word goes out that relies on what is not flushed; A5 no member votes twice in a term; A6 voters change one
at a time, never two changes on their way; A7 a read tells nothing older than what was agreed when it was asked for."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from cypresswalk.agreement.log import Log, Snapshot, encode
from cypresswalk.agreement.messages import (
    ENTRY_COMMAND,
    ENTRY_MEMBERSHIP,
    ENTRY_NOOP,
    AnyMessage,
    AppendEntries,
    AppendEntriesResponse,
    DataLossDetected,
    Entry,
    InstallSnapshotChunk,
    InstallSnapshotChunkResponse,
    Members,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)

MILLISECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Timing:
    beat: int = (
        150 * MILLISECOND
    )  # a tenth of the shortest election: a few lost beats are no reason for one
    election: int = 1_000 * MILLISECOND  # the least without a leader; the longest is twice that
    follow: int = (
        750 * MILLISECOND
    )  # the beat of those that only follow: two hundred of them cost 270 words a second
    resend: int = (
        400 * MILLISECOND
    )  # an append unanswered for so long goes again: two flushes on a busy disk
    entries: int = 64  # in one append
    size: int = 256 << 10  # bytes in one append, or piece of a snapshot
    waiting: int = 256  # entries not agreed yet: beyond them a proposal is refused at once
    waiting_size: int = 4 << 20


class Role(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"  # whether an election would be won, in no new term yet
    CANDIDATE = "candidate"
    LEADER = "leader"


class BusyError(Exception):
    """Not now: the message says why."""


class LogDivergedError(Exception):
    """The log contradicts what was agreed: this member must not go on."""


@dataclass(slots=True)
class PersistentState:
    """What stands on disk."""

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)
    term: int = 0
    voted: str = ""


@dataclass(slots=True)
class Ready:
    """In this order: write and flush, `Node.written`, send, apply."""

    vote: tuple[int, str] | None = None
    snapshot: Snapshot | None = None  # with it everything on disk is written anew
    cut: int | None = None  # nothing of the log stays from here on
    entries: list[tuple[int, Entry]] = field(default_factory=list)
    words: list[tuple[str, AnyMessage]] = field(default_factory=list)
    install: Snapshot | None = None  # a state to begin from, before `agreed`
    agreed: list[tuple[int, Entry]] = field(default_factory=list)
    reads: list[tuple[object, int]] = field(
        default_factory=list
    )  # tokens, and what must be applied before
    disowned: bool = False

    @property
    def writes(self) -> bool:
        return (
            self.vote is not None
            or self.snapshot is not None
            or self.cut is not None
            or bool(self.entries)
        )


class Progress:
    """What the leader knows of another member."""

    __slots__ = (
        "match",
        "next",
        "busy_to",
        "sent_at",
        "heard_at",
        "answered",
        "sure",
        "beat_at",
        "piece",
    )

    def __init__(self, next_: int, now: int):
        self.match, self.next = 0, next_
        self.busy_to = (
            0  # an append up to here is out; one at a time holds back what a slow one can't take
        )
        self.sent_at = self.heard_at = now
        self.answered = 0  # the latest round answered
        self.sure: int | None = (
            None  # from this round on a no means that it lost what it acknowledged
        )
        self.beat_at = now
        self.piece: tuple[Snapshot, int] | None = (
            None  # the snapshot it gets, and how much of it it has
        )


class Node:
    def __init__(self, me: str, kept: PersistentState, timing: Timing, chance: Random, now: int):
        self.me, self.timing, self.chance = me, timing, chance
        self.term, self.voted = kept.term, kept.voted
        self.log = Log(kept.snapshot, kept.entries)
        self.commit = self.given = kept.snapshot.index
        self.role, self.leader = Role.FOLLOWER, ""
        self.heard_at: int | None = None  # when a leader was last heard
        self.due_at = self.again(now)
        self.votes: dict[str, bool] = {}
        self.peers: dict[str, Progress] = {}
        self.round = 0
        self.reads: list[tuple[object, int, int]] = []  # token, round, index
        self.durable = self.log.last
        self.incoming: tuple[int, int, bytearray] | None = None
        self.leaving: str | None = None  # whom leadership goes to
        self.leaving_until = 0
        self.work = Ready()
        self.fresh_vote = False
        self.install: Snapshot | None = kept.snapshot if kept.snapshot.data else None

    # What is known.

    @property
    def voters(self) -> list[str]:
        return [member.id for member in self.log.members if member.voter]

    def is_voter(self) -> bool:
        return self.me in self.voters

    def majority(self, of: int) -> int:
        return of // 2 + 1

    def again(self, now: int) -> int:
        return now + self.timing.election + self.chance.randrange(self.timing.election)

    def due(self) -> int:
        if self.role is not Role.LEADER:
            return self.due_at
        return min([self.due_at, *(p.beat_at for p in self.peers.values())])

    # Time.

    def passed(self, now: int) -> None:
        if self.role is Role.LEADER:
            self.lead(now)
        elif now >= self.due_at:
            self.due_at = self.again(now)
            if self.is_voter():
                self.ask(now)

    def ask(self, now: int) -> None:
        """Pre-vote (thesis, 9.6): one that was cut off does not disturb the others with higher terms when it comes back."""
        self.role, self.leader, self.votes = Role.ASKING, "", {self.me: True}
        self.call(RequestVote(self.term + 1, self.log.last, self.log.last_term, True))
        if len(self.voters) == 1:
            self.campaign(now)

    def campaign(self, now: int, forced: bool = False) -> None:
        self.become(self.term + 1, Role.CANDIDATE)
        self.due_at = self.again(now)
        self.votes = {}  # its own counts once it is on disk
        self.vote_for(self.me)
        self.call(RequestVote(self.term, self.log.last, self.log.last_term, False, forced))

    def call(self, word: RequestVote) -> None:
        for other in self.voters:
            if other != self.me:
                self.say(other, word)

    def become(self, term: int, role: Role) -> None:
        if term != self.term:
            self.term, self.voted = term, ""
            self.fresh_vote = True
        if self.role is Role.LEADER:
            self.peers, self.reads, self.leaving = {}, [], None
        self.role, self.leader = role, ""

    def vote_for(self, who: str) -> None:
        self.voted, self.fresh_vote = who, True

    def say(self, to: str, word: AnyMessage) -> None:
        self.work.words.append((to, word))

    # Words.

    def heard(self, now: int, source: str, word: AnyMessage) -> None:
        match word:
            case RequestVote():
                self.asked_to_vote(now, source, word)
                return
            case RequestVoteResponse() if word.early:
                if word.granted and self.role is Role.ASKING and word.term == self.term + 1:
                    self.counted(now, source, True)
                elif not word.granted and word.term > self.term:
                    self.follow(now, word.term, "")
                return
            case TimeoutNow():
                if word.term == self.term and self.is_voter():
                    self.campaign(now, forced=True)
                return
            case DataLossDetected():
                if word.term >= self.term:
                    self.work.disowned = True
                return
        if word.term > self.term:
            self.follow(
                now,
                word.term,
                source if isinstance(word, AppendEntries | InstallSnapshotChunk) else "",
            )
        match word:
            case RequestVoteResponse():
                if self.role is Role.CANDIDATE and word.term == self.term:
                    self.counted(now, source, word.granted)
            case AppendEntries():
                self.appended(now, source, word)
            case InstallSnapshotChunk():
                self.pieced(now, source, word)
            case AppendEntriesResponse():
                self.answered(now, source, word)
            case InstallSnapshotChunkResponse():
                self.piece_answered(now, source, word)

    def asked_to_vote(self, now: int, source: str, word: RequestVote) -> None:
        # Guards a leader that is heard against a member that does not hear it, or was removed (thesis, 4.2.3).
        content = (
            self.role is Role.LEADER
            or self.heard_at is not None
            and now - self.heard_at < self.timing.election
            and self.leader != ""
        )
        fits = (word.last_term, word.last_index) >= (self.log.last_term, self.log.last)
        if word.early:
            granted = word.term > self.term and fits and not content
            self.say(
                source, RequestVoteResponse(word.term if granted else self.term, granted, True)
            )
            return
        if content and not word.forced and word.term > self.term:
            return
        if word.term > self.term:
            self.follow(now, word.term, "")
        granted = word.term == self.term and fits and self.voted in ("", source)
        if granted:
            if self.voted != source:
                self.vote_for(source)
            self.due_at = self.again(now)
        self.say(source, RequestVoteResponse(self.term, granted, False))

    def counted(self, now: int, source: str, granted: bool) -> None:
        self.votes[source] = granted
        voters = self.voters
        if sum(self.votes.get(voter, False) for voter in voters) < self.majority(len(voters)):
            return
        if self.role is Role.ASKING:
            self.campaign(now)
        elif self.role is Role.CANDIDATE:
            self.take_lead(now)

    def follow(self, now: int, term: int, leader: str) -> None:
        self.become(term, Role.FOLLOWER)
        self.leader = leader
        self.due_at = self.again(now)

    def appended(self, now: int, source: str, word: AppendEntries) -> None:
        if not self.from_leader(now, source, word.term):
            self.say(source, AppendEntriesResponse(self.term, False, self.log.last, word.round))
            return
        log, before, entries = self.log, word.before_index, word.entries
        if before < log.snapshot.index:
            # What the snapshot holds is agreed, and so alike.
            entries = entries[log.snapshot.index - before :]
            before = log.snapshot.index
        elif log.term(before) != word.before_term:
            self.say(
                source, AppendEntriesResponse(self.term, False, self.try_next(before), word.round)
            )
            return
        for number, entry in enumerate(entries, before + 1):
            known = log.term(number)
            if known == entry.term:
                continue
            if known is not None:
                if number <= self.commit:
                    raise LogDivergedError(
                        f"entry {number} of term {known} is agreed, the leader of term {word.term} has {entry.term}"
                    )
                self.cut(number)
            log.append(entry)
        last = before + len(entries)
        self.commit = max(self.commit, min(word.commit, last))
        self.say(source, AppendEntriesResponse(self.term, True, last, word.round))

    def cut(self, index: int) -> None:
        self.log.cut(index)
        if index <= self.durable:
            self.work.cut = index if self.work.cut is None else min(index, self.work.cut)
            self.durable = index - 1

    def try_next(self, before: int) -> int:
        """Back over the whole term that differs, not entry by entry."""
        at = min(before - 1, self.log.last)
        odd = self.log.term(before)
        while at > self.commit and odd is not None and self.log.term(at) == odd:
            at -= 1
        return max(at, self.commit)

    def from_leader(self, now: int, source: str, term: int) -> bool:
        if term < self.term:
            return False
        if self.role is not Role.FOLLOWER:
            if self.role is Role.LEADER:
                raise LogDivergedError(f"two leaders in term {term}: {self.me} and {source}")
            self.become(term, Role.FOLLOWER)
        self.leader, self.heard_at = source, now
        self.due_at = self.again(now)
        return True

    def pieced(self, now: int, source: str, word: InstallSnapshotChunk) -> None:
        if not self.from_leader(now, source, word.term):
            self.say(source, AppendEntriesResponse(self.term, False, self.log.last, word.round))
            return
        if word.index <= self.commit:
            self.incoming = None
            self.say(source, AppendEntriesResponse(self.term, True, word.index, word.round))
            return
        # Bytes of one member's copy need not go with those of another's: a new leader's begins from the front.
        place = (word.index, word.term)
        if self.incoming is None or self.incoming[:2] != place:
            self.incoming = (*place, bytearray())
        data = self.incoming[2]
        if word.offset == len(data):
            data += word.data
            if word.last:
                self.incoming = None
                self.begin_from(Snapshot(word.index, word.index_term, word.members, bytes(data)))
                self.say(source, AppendEntriesResponse(self.term, True, word.index, word.round))
                return
        self.say(source, InstallSnapshotChunkResponse(self.term, word.index, len(data), word.round))

    def begin_from(self, snapshot: Snapshot) -> None:
        self.log.begin_at(snapshot)
        self.commit = self.given = snapshot.index
        self.durable = max(min(self.durable, self.log.last), snapshot.index)
        self.work.snapshot, self.work.cut = snapshot, None
        self.install = snapshot

    # Leading.

    def take_lead(self, now: int) -> None:
        self.role, self.leader, self.leaving = Role.LEADER, self.me, None
        self.due_at = now + self.timing.beat
        self.peers = {
            m.id: Progress(self.log.last + 1, now) for m in self.log.members if m.id != self.me
        }
        # What earlier terms left counts as agreed only under an entry of this one (Raft, 5.4.2).
        self.log.append(Entry(self.term, ENTRY_NOOP, b""))
        self.spread(now)

    def lead(self, now: int) -> None:
        voters = self.voters
        near = sum(
            v == self.me or v in self.peers and now - self.peers[v].heard_at < self.timing.election
            for v in voters
        )
        # Guards clients against a leader that is cut off and goes on taking what it can't have agreed (check-quorum).
        if near < self.majority(len(voters)):
            self.follow(now, self.term, "")
            return
        if self.leaving and now >= self.leaving_until:
            self.leaving = None
        self.due_at = now + self.timing.beat
        for ident, peer in self.peers.items():
            if now >= peer.beat_at:
                self.append_to(now, ident, peer, beat=True)

    def spread(self, now: int) -> None:
        for ident, peer in self.peers.items():
            self.append_to(now, ident, peer)

    def append_to(self, now: int, ident: str, peer: Progress, beat: bool = False) -> None:
        free = not peer.busy_to or now - peer.sent_at >= self.timing.resend
        if not beat and not (free and (peer.next <= self.log.last or peer.piece)):
            return
        self.round += 1
        voter = ident in self.voters
        peer.beat_at = now + (self.timing.beat if voter else self.timing.follow)
        if peer.next < self.log.first or peer.piece:
            if not free:
                return
            snapshot, offset = peer.piece or (self.log.snapshot, 0)
            peer.piece = snapshot, offset
            peer.busy_to, peer.sent_at = snapshot.index, now
            data = snapshot.data[offset : offset + self.timing.size]
            self.say(
                ident,
                InstallSnapshotChunk(
                    self.term,
                    snapshot.index,
                    snapshot.term,
                    snapshot.members,
                    offset,
                    data,
                    offset + len(data) >= len(snapshot.data),
                    self.round,
                ),
            )
            return
        entries: list[Entry] = []
        if free and peer.next <= self.log.last:
            size = 0
            for entry in self.log.between(
                peer.next, min(self.log.last, peer.next + self.timing.entries - 1)
            ):
                size += len(entry.data)
                if entries and size > self.timing.size:
                    break
                entries.append(entry)
            peer.busy_to, peer.sent_at = peer.next + len(entries) - 1, now
        before = peer.next - 1
        self.say(
            ident,
            AppendEntries(
                self.term, before, self.log.term(before), tuple(entries), self.commit, self.round
            ),
        )

    def answered(self, now: int, source: str, word: AppendEntriesResponse) -> None:
        peer = self.peers.get(source)
        if self.role is not Role.LEADER or word.term != self.term or peer is None:
            return
        peer.heard_at, peer.answered = now, max(peer.answered, word.round)
        if word.alike:
            peer.match = max(peer.match, word.index)
            if peer.piece and peer.match >= peer.piece[0].index:
                peer.piece = None
            if peer.next != peer.match + 1 or peer.sure is None:
                peer.next, peer.sure = (
                    peer.match + 1,
                    self.round + 1 if peer.sure is None else peer.sure,
                )
            if peer.match >= peer.busy_to:
                peer.busy_to = 0
            self.settle(now)
        elif peer.sure is not None and word.round >= peer.sure:
            self.say(source, DataLossDetected(self.term))
        elif peer.sure is None:
            peer.next = max(min(word.index + 1, peer.next - 1), 0)
            peer.busy_to = 0
        if self.role is Role.LEADER and source in self.peers:
            self.append_to(now, source, peer)
            if self.leaving == source and peer.match == self.log.last:
                self.say(source, TimeoutNow(self.term))
                self.leaving_until = now + self.timing.election
        self.confirm()

    def piece_answered(self, now: int, source: str, word: InstallSnapshotChunkResponse) -> None:
        peer = self.peers.get(source)
        if self.role is not Role.LEADER or word.term != self.term or peer is None:
            return
        peer.heard_at, peer.answered = now, max(peer.answered, word.round)
        if peer.piece and word.index == peer.piece[0].index:
            peer.piece, peer.busy_to = (peer.piece[0], word.offset), 0
            self.append_to(now, source, peer)
        self.confirm()

    def settle(self, now: int) -> None:
        """What stands at a majority of voters, in this term, is agreed."""
        voters = self.voters
        if not voters:
            return
        have = sorted(
            (
                self.durable if v == self.me else self.peers[v].match if v in self.peers else 0
                for v in voters
            ),
            reverse=True,
        )
        index = have[len(voters) // 2]
        if index > self.commit and self.log.term(index) == self.term:
            self.commit = index
            self.spread(now)
            if (
                self.me not in voters
                and self.log.changes
                and self.log.changes[-1][0] <= self.commit
            ):
                self.name_heir(now)
                self.follow(now, self.term, "")

    def name_heir(self, now: int) -> None:
        best = max(
            (v for v in self.voters if v != self.me and v in self.peers),
            key=lambda v: (self.peers[v].match, v),
            default=None,
        )
        if best is not None and self.peers[best].match == self.log.last:
            self.say(best, TimeoutNow(self.term))

    def confirm(self) -> None:
        voters = self.voters
        while self.reads:
            token, round_, index = self.reads[0]
            near = sum(
                v == self.me or v in self.peers and self.peers[v].answered >= round_ for v in voters
            )
            if near < self.majority(len(voters)):
                return
            self.reads.pop(0)
            self.work.reads.append((token, index))

    # What its owner asks. Each raises Busy where it can't be had now.

    def must_lead(self) -> None:
        if self.role is not Role.LEADER:
            raise BusyError("not the leader")
        if self.leaving:
            raise BusyError("leadership is being handed over")

    def propose(self, now: int, data: bytes) -> tuple[int, int]:
        """Its place in the log and term: agreed once that entry with that term comes as agreed."""
        self.must_lead()
        waiting = self.log.between(self.commit + 1, self.log.last)
        if (
            len(waiting) >= self.timing.waiting
            or sum(len(e.data) for e in waiting) + len(data) > self.timing.waiting_size
        ):
            raise BusyError("too much waits to be agreed")
        index = self.log.append(Entry(self.term, ENTRY_COMMAND, data))
        self.spread(now)
        return index, self.term

    def change(self, now: int, members: Members) -> tuple[int, int]:
        """Another set of members: one voter more or less, or other followers."""
        self.must_lead()
        if self.log.changes and self.log.changes[-1][0] > self.commit:
            raise BusyError("another change of members is on its way")
        # Guards against two leaders with changes side by side, each with a majority of its own (the mended member change of
        # Raft, Ongaro 2015): none before this term has something agreed.
        if self.log.term(self.commit) != self.term:
            raise BusyError("this leader has nothing agreed yet")
        old, new = set(self.voters), {m.id for m in members if m.voter}
        if len(old ^ new) > 1 or not new or len({m.id for m in members}) != len(members):
            raise ValueError("one voter at a time, and at least one stays")
        index = self.log.append(Entry(self.term, ENTRY_MEMBERSHIP, encode(members)))
        kept = {m.id for m in members}
        for ident in [ident for ident in self.peers if ident not in kept]:
            # Its last words go out, so that it learns of its removal where it can be reached.
            self.append_to(now, ident, self.peers.pop(ident), beat=True)
        for member in members:
            if member.id != self.me and member.id not in self.peers:
                self.peers[member.id] = Progress(self.log.last, now)
        self.spread(now)
        return index, self.term

    def read(self, now: int, token: object) -> None:
        """`token` comes back among the reads once it is certain that nothing newer was agreed when this was asked."""
        self.must_lead()
        if self.log.term(self.commit) != self.term:
            raise BusyError("this leader has nothing agreed yet")
        if len(self.reads) >= 16 * self.timing.waiting:
            raise BusyError("too many reads wait")
        # Several in one moment share the round; `beat_at` in the past makes the driver's next call of `passed` send it.
        self.reads.append((token, self.round + 1, self.commit))
        for voter in self.voters:
            if voter in self.peers:
                self.peers[voter].beat_at = min(self.peers[voter].beat_at, now)
        self.confirm()

    def hand_over(self, now: int) -> str | None:
        """Before a planned stop; to whom."""
        self.must_lead()
        best = max(
            (
                v
                for v in self.voters
                if v != self.me
                and v in self.peers
                and now - self.peers[v].heard_at < self.timing.election
            ),
            key=lambda v: (self.peers[v].match, v),
            default=None,
        )
        if best is None:
            return None
        self.leaving, self.leaving_until = best, now + self.timing.election
        if self.peers[best].match == self.log.last:
            self.say(best, TimeoutNow(self.term))
        return best

    def compact(self, index: int, data: bytes) -> None:
        """The state up to `index`, which must have been given as agreed, takes the place of the entries up to there."""
        if not self.log.snapshot.index < index <= self.given:
            return
        snapshot = Snapshot(index, self.log.term(index), self.log.members_at(index), data)
        self.log.begin_at(snapshot)
        self.work.snapshot = snapshot

    # What the owner does about it.

    def take(self) -> Ready | None:
        work = self.work
        if self.fresh_vote:
            work.vote = (self.term, self.voted)
        start = self.durable + 1
        if work.snapshot is not None:
            work.vote, start, work.cut = (self.term, self.voted), self.log.first, None
        work.entries = list(
            enumerate(self.log.between(start, self.log.last), max(start, self.log.first))
        )
        if self.install is not None:
            work.install, self.install = self.install, None
        if self.commit > self.given:
            work.agreed = list(
                enumerate(self.log.between(self.given + 1, self.commit), self.given + 1)
            )
            self.given = self.commit
        if not (
            work.writes or work.words or work.agreed or work.reads or work.install or work.disowned
        ):
            return None
        self.work, self.fresh_vote = Ready(), False
        return work

    def written(self, now: int, work: Ready) -> None:
        """All that `work` says to write is flushed."""
        if work.entries:
            self.durable = work.entries[-1][0]
        if self.role is Role.CANDIDATE and work.vote == (self.term, self.me):
            self.counted(now, self.me, True)
        elif self.role is Role.LEADER and work.entries:
            self.settle(now)
