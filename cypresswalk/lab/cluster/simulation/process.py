"""A balancer's process: the fleet's own code on a simulated clock, network and disk."""

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from cypresswalk.agreement.errors import ForeignFileError, LogDivergedError
from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.errors import UnreadableEntryError
from cypresswalk.fleet.events import Event, VersionApplied
from cypresswalk.fleet.member import Member
from cypresswalk.fleet.messages import AnyFrame, Hello
from cypresswalk.fleet.transport import Transport
from cypresswalk.lab.cluster.simulation.disk import SimulatedDisk
from cypresswalk.lab.cluster.simulation.errors import ProcessKilledError, ViolationError
from cypresswalk.lab.units import SECOND
from cypresswalk.operator import FleetTable

EPOCH = 1_800_000_000 * SECOND  # the wall clock of all processes when virtual time begins
MAX_CLOCK_BASE = 10**15  # nanoseconds
CLOCK_RATES = (0.99, 1.01)  # bounds, as the fleet allows for
DISK_RETRY_DELAY = SECOND  # after a disk has failed
NEVER = 1 << 62  # later than any moment of virtual time


class Environment(Protocol):
    """What a process needs of the world.

    Attributes:
        seed: of the run.
        now: virtual time, nanoseconds.
        random: the world's.
        own_settings: that a balancer offers where the fleet has none.
    """

    seed: int
    now: int
    random: Random
    own_settings: dict[str, Any]

    def send(self, source: str, address: str, hello: Hello, frame: AnyFrame) -> None:
        """Sends a frame to whoever has that address."""

    def schedule(self, process: "Process") -> None:
        """Runs the process when it is due."""

    def count(self, situation: str) -> None:
        """Counts what was met."""


class SimulatedTransport(Transport):
    """Sends through the simulated network in place of sockets; checks a Hello as the real one."""

    def __init__(self, environment: Environment, fleet: FleetThread):
        """Connections of that fleet thread."""
        super().__init__(
            ("127.0.0.1", 0),
            fleet.table.fleet,
            lambda event: None,
            lambda: 0,
            fleet.hello,
            fleet.group,
        )
        self._environment = environment
        self._source = fleet.table.name

    def start(self) -> None:
        """Listens nowhere."""
        self.listening = True

    def end(self) -> None:
        """Has nothing to end."""

    def send(self, address: tuple[str, int], to: str, frame: AnyFrame) -> None:
        """Sends a frame to the member `to` at that address."""
        host, port = address
        self._environment.send(self._source, f"{host}:{port}", self.hello(to), frame)


class SimulatedFleetThread(FleetThread):
    """Runs no thread: `Process` calls what the thread would call."""

    def __init__(self, environment: Environment, process: "Process"):
        """The fleet's part of one start of that process."""
        self.process = process
        self._environment = environment  # `make_transport` needs it already
        super().__init__(
            process.table,
            process.settings_objection,
            environment.own_settings,
            process.act_on,
            lambda: None,
            process.clock,
        )
        self.folder.disk = process.disk  # type: ignore[assignment]  # a Folder, as DiskFolder is
        self.random = Random(f"{environment.seed}/{process.name}/{process.starts}")
        self.start_nonce = self.random.getrandbits(63)
        self.wall = lambda: EPOCH + environment.now

    def make_transport(self) -> Transport:
        """Return the connections to other members."""
        return SimulatedTransport(self._environment, self)


class Process:
    """One balancer: what survives its end, and its fleet thread while it runs.

    Attributes:
        table: of its operator's file.
        name: the balancer's.
        disk: its folder.
        fleet: None while it does not run.
        starts: how often it was started.
        frozen_until: virtual time until which it does not run, nanoseconds.
        clock_rate: how fast its clock is; 1.0 for as fast as virtual time.
        last_member_id: whose its folder was when it last ran.
        acts_on: the version of the agreed state that it acts on.
        unreadable_marks: settings with such a mark are not readable to it.
        on_start: called with each new fleet thread, before it begins.
    """

    def __init__(self, environment: Environment, table: FleetTable):
        """A process that does not run yet."""
        self.table = table
        self.name = table.name
        self.disk = SimulatedDisk(Random(f"{environment.seed}/disk/{table.name}"))
        self.fleet: SimulatedFleetThread | None = None
        self.starts = 0
        self.frozen_until = 0
        self.clock_rate = 1.0
        self.last_member_id = ""
        self.acts_on = 0
        self.unreadable_marks: set[int] = set()
        self.on_start: Callable[[SimulatedFleetThread], None] = lambda fleet: None
        self._environment = environment
        self._clock_base = environment.random.randrange(MAX_CLOCK_BASE)
        self._deferred: list[Event] = []  # that came while it was frozen
        self._retry_at = 0  # when a member whose disk has failed begins anew

    @property
    def member(self) -> Member | None:
        """Its member of the fleet; None while it does not run, or its disk has failed."""
        return self.fleet.member if self.fleet is not None else None

    @property
    def live_member(self) -> Member:
        """Its member of the fleet, which runs."""
        member = self.member
        assert member is not None, f"{self.name} runs no member"
        return member

    @property
    def is_frozen(self) -> bool:
        """Whether it does not run for a while, and does not notice."""
        return self._environment.now < self.frozen_until

    @property
    def acts(self) -> bool:
        """Whether it runs and may act on the version that it has."""
        return self.fleet is not None and not self.is_frozen and self.fleet.may_act()

    def clock(self) -> int:
        """Its own clock, nanoseconds."""
        return self._clock_base + int(self._environment.now * self.clock_rate)

    def settings_objection(self, settings: dict[str, Any]) -> str:
        """Why it could not act on those settings, or an empty string."""
        return "it can't be read here" if settings.get("mark") in self.unreadable_marks else ""

    def act_on(self, view: AppliedView) -> None:
        """Its deciding thread acts on a view; that takes no time here."""
        if self.fleet is not None and view.version > self.acts_on:
            self.acts_on = view.version
            self.fleet.queue.put(VersionApplied(view.version))
            self.fleet.applied_version = view.version

    # Starts and ends.

    def start(self) -> None:
        """Starts it; its folder is read."""
        self.starts += 1
        self.acts_on = 0
        self.fleet = SimulatedFleetThread(self._environment, self)
        self.on_start(self.fleet)
        self._retry_at = 0
        self._run(self.fleet.start_member)
        self._environment.schedule(self)

    def kill(self) -> None:
        """Ends it and crashes its disk."""
        self.end()
        self.disk.crash()

    def end(self) -> None:
        """Ends it as planned: what was written stays."""
        self._remember_member()
        self.fleet = None
        self._deferred = []

    def _stop_member(self) -> None:
        """As the fleet's thread does where its disk fails: it begins anew after a while."""
        self._environment.count("disk failed")
        self._remember_member()
        if self.fleet is not None:
            self.fleet.member = None
        self._retry_at = self._environment.now + DISK_RETRY_DELAY

    def _remember_member(self) -> None:
        if self.member is not None:
            self.last_member_id = self.member.id

    def thaw(self) -> None:
        """Lets it go on, if it is frozen; it is to be scheduled anew."""
        self.frozen_until = min(self.frozen_until, self._environment.now)

    # Turns.

    def receive(self, event: Event) -> None:
        """Handles an event now, or after it was frozen."""
        if self.is_frozen:
            self._deferred.append(event)
        else:
            self.turn([event])

    def wake_up(self) -> None:
        """Handles what came while it was frozen, and what is due."""
        deferred = self._deferred
        self._deferred = []
        self.turn(deferred)

    def turn(self, events: list[Event]) -> None:
        """Handles events, those posted to its thread, and what time brings."""
        if self.fleet is None:
            return
        if self.fleet.member is not None:
            while not self.fleet.queue.empty():
                events = [*events, self.fleet.queue.get()]
            self._run(self.fleet.process_events, events)
        elif self._retry_at <= self._environment.now:
            self._run(self.fleet.start_member)
        self._environment.schedule(self)

    def _run(self, function: Callable[..., None], *args: object) -> None:
        """Calls the fleet's code, and ends what it can't go on with."""
        try:
            function(*args)
        except ProcessKilledError:
            self._environment.count("killed in the middle of a write")
            self.kill()
        except (OSError, KeyError, UnreadableEntryError, ForeignFileError):
            self._stop_member()
        except LogDivergedError as error:
            raise ViolationError(f"{self.name}: {error}") from None

    def due(self) -> int:
        """When it has something to do, in virtual time; NEVER while it does not run."""
        if self.fleet is None:
            return NEVER
        now = self._environment.now
        if self.fleet.member is None:
            due = self._retry_at
        elif not self.fleet.queue.empty():
            due = now
        else:
            on_own_clock = self.fleet.member.due() - self._clock_base
            due = int(on_own_clock / self.clock_rate) + 1
        return max(due, self.frozen_until, now)
