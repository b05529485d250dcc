"""Simulated process of a balancer: the fleet's code with simulated clock, network and disk."""

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
MAX_CLOCK_BASE = 10**15  # nanoseconds; bound on a clock's reading when virtual time begins
CLOCK_RATES = (0.99, 1.01)  # bounds; the fleet tolerates this drift
DISK_RETRY_DELAY = SECOND  # from a disk failure to the member's restart
NEVER = 1 << 62  # later than any moment of virtual time


class Environment(Protocol):
    """The part of the simulation that a process uses.

    Attributes:
        seed: seed of the run.
        now: current virtual time, nanoseconds.
        random: the simulation's source of random draws.
        own_settings: settings that a balancer offers if the fleet has none.
    """

    seed: int
    now: int
    random: Random
    own_settings: dict[str, Any]

    def send(self, source: str, address: str, hello: Hello, frame: AnyFrame) -> None:
        """Send a frame to the process with that address."""

    def schedule(self, process: "Process") -> None:
        """Schedule the process for its due time."""

    def count(self, situation: str) -> None:
        """Count an occurrence of a situation."""


class SimulatedTransport(Transport):
    """Transport over the simulated network; checks a Hello as the real transport does."""

    def __init__(self, environment: Environment, fleet: FleetThread):
        """Create the transport of a fleet thread."""
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
        """Do nothing but report that the transport listens."""
        self.listening = True

    def end(self) -> None:
        """Do nothing."""

    def send(self, address: tuple[str, int], to: str, frame: AnyFrame) -> None:
        """Send a frame to the member `to` at that address."""
        host, port = address
        self._environment.send(self._source, f"{host}:{port}", self.hello(to), frame)


class SimulatedFleetThread(FleetThread):
    """Fleet thread without a thread: `Process` calls its methods in the thread's place."""

    def __init__(self, environment: Environment, process: "Process"):
        """Create the fleet thread for one start of the process."""
        self.process = process
        self._environment = environment  # used by `make_transport` during super().__init__
        super().__init__(
            process.table,
            process.settings_objection,
            environment.own_settings,
            process.apply_view,
            lambda: None,
            process.clock,
        )
        self.folder.disk = process.disk  # type: ignore[assignment]  # implements Folder, as DiskFolder does
        self.random = Random(f"{environment.seed}/{process.name}/{process.starts}")
        self.start_nonce = self.random.getrandbits(63)
        self.wall = lambda: EPOCH + environment.now

    def make_transport(self) -> Transport:
        """Return the transport to other members."""
        return SimulatedTransport(self._environment, self)


class Process:
    """A balancer's process: its persistent state, and its fleet thread while it runs.

    Attributes:
        table: fleet settings from the operator's file.
        name: name of the balancer.
        disk: its folder.
        fleet: its fleet thread; None while the process does not run.
        starts: number of starts.
        frozen_until: virtual time until which it is suspended, nanoseconds.
        clock_rate: speed of its clock relative to virtual time.
        last_member_id: id of the member that it ran last.
        applied_version: version of the agreed state that it acts on.
        unreadable_marks: settings with one of these marks cannot be read by this balancer.
        on_start: function that gets each new fleet thread before the thread starts.
    """

    def __init__(self, environment: Environment, table: FleetTable):
        """Create a process that is not started yet."""
        self.table = table
        self.name = table.name
        self.disk = SimulatedDisk(Random(f"{environment.seed}/disk/{table.name}"))
        self.fleet: SimulatedFleetThread | None = None
        self.starts = 0
        self.frozen_until = 0
        self.clock_rate = 1.0
        self.last_member_id = ""
        self.applied_version = 0
        self.unreadable_marks: set[int] = set()
        self.on_start: Callable[[SimulatedFleetThread], None] = lambda fleet: None
        self._environment = environment
        self._clock_base = environment.random.randrange(MAX_CLOCK_BASE)
        self._deferred: list[Event] = []  # received while frozen
        self._retry_at = 0  # when the member restarts after a disk failure

    @property
    def member(self) -> Member | None:
        """Return its fleet member; None while it does not run or after a disk failure."""
        return self.fleet.member if self.fleet is not None else None

    @property
    def live_member(self) -> Member:
        """Return its fleet member, which must run."""
        member = self.member
        assert member is not None, f"{self.name} runs no member"
        return member

    @property
    def is_frozen(self) -> bool:
        """Return whether the process is suspended."""
        return self._environment.now < self.frozen_until

    @property
    def may_act(self) -> bool:
        """Return whether it runs and may act on its version of the agreed state."""
        return self.fleet is not None and not self.is_frozen and self.fleet.may_act()

    def clock(self) -> int:
        """Return the time of its own clock, nanoseconds."""
        return self._clock_base + int(self._environment.now * self.clock_rate)

    def settings_objection(self, settings: dict[str, Any]) -> str:
        """Return why it cannot act on the settings, or an empty string."""
        return "it can't be read here" if settings.get("mark") in self.unreadable_marks else ""

    def apply_view(self, view: AppliedView) -> None:
        """Apply a view as the balancer's deciding thread does; takes no virtual time."""
        if self.fleet is not None and view.version > self.applied_version:
            self.applied_version = view.version
            self.fleet.queue.put(VersionApplied(view.version))
            self.fleet.applied_version = view.version

    # Starts and ends.

    def start(self) -> None:
        """Start the process, which reads its folder."""
        self.starts += 1
        self.applied_version = 0
        self.fleet = SimulatedFleetThread(self._environment, self)
        self.on_start(self.fleet)
        self._retry_at = 0
        self._run(self.fleet.start_member)
        self._environment.schedule(self)

    def kill(self) -> None:
        """Kill the process and simulate a crash of its disk."""
        self.end()
        self.disk.crash()

    def end(self) -> None:
        """Stop the process cleanly; all written data stays."""
        self._remember_member()
        self.fleet = None
        self._deferred = []

    def _stop_member(self) -> None:
        """Stop the member after a disk failure and schedule a restart, as the real thread does."""
        self._environment.count("disk failed")
        self._remember_member()
        if self.fleet is not None:
            self.fleet.member = None
        self._retry_at = self._environment.now + DISK_RETRY_DELAY

    def _remember_member(self) -> None:
        if self.member is not None:
            self.last_member_id = self.member.id

    def thaw(self) -> None:
        """End a freeze; the caller must reschedule the process."""
        self.frozen_until = min(self.frozen_until, self._environment.now)

    # Events.

    def receive(self, event: Event) -> None:
        """Handle an event now, or at the end of a freeze."""
        if self.is_frozen:
            self._deferred.append(event)
        else:
            self.process_events([event])

    def wake_up(self) -> None:
        """Handle the events received while frozen, and whatever is due."""
        deferred = self._deferred
        self._deferred = []
        self.process_events(deferred)

    def process_events(self, events: list[Event]) -> None:
        """Handle the given events, queued events and expired timers."""
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
        """Call the fleet's code; stop the member or the process on errors that end it."""
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
        """Return the virtual time of its next event; NEVER while it does not run."""
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
