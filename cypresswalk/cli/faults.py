"""`cypresswalk faults`: the fault proxy."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import click

from cypresswalk.refusal import CommandError

if TYPE_CHECKING:  # imported when the command runs, so that `--help` is fast
    from cypresswalk.faults.datagram_proxy import DatagramProxy
    from cypresswalk.faults.proxy import Proxy

MAX_PORT = 65535


def address(context: click.Context, option: click.Parameter, text: str) -> tuple[str, int]:
    """Parse HOST:PORT; raise click.BadParameter if it is invalid."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise click.BadParameter(f"{text!r} is not HOST:PORT")
    return host, int(port)


@click.command()
@click.option(
    "--listen",
    required=True,
    callback=address,
    metavar="HOST:PORT",
    help="Address to listen on; port 0 picks a free one.",
)
@click.option(
    "--to", required=True, callback=address, metavar="HOST:PORT", help="Address to connect to."
)
@click.option(
    "--plan", type=click.Path(), help="TOML file of faults; without it all bytes pass unchanged."
)
@click.option(
    "--replay",
    type=click.Path(),
    help="Record of an earlier run; its faults are injected instead of a plan's.",
)
@click.option(
    "--seed", default=0, show_default=True, help="Seed for the random values of the plan."
)
@click.option(
    "--record",
    type=click.Path(),
    help="File for the injected faults, written as JSON lines at the end.",
)
@click.option("--udp", is_flag=True, help="Proxy datagrams instead of connections.")
@click.option("--quiet", is_flag=True, help="Do not print the injected faults.")
def faults(
    listen: tuple[str, int],
    to: tuple[str, int],
    plan: str | None,
    replay: str | None,
    seed: int,
    record: str | None,
    udp: bool,
    quiet: bool,
) -> int:
    """Proxy connections or datagrams, and inject the faults of a plan.

    A fault's place is a connection's number and a byte offset, so the same seed injects the same
    faults at the same places. Each fault is printed as a JSON line. Ctrl-C ends the proxy, writes
    the record and prints the faults that were never reached.
    """
    from cypresswalk.faults import plan as plans
    from cypresswalk.faults.datagram_proxy import DatagramProxy
    from cypresswalk.faults.proxy import Proxy

    if plan and replay:
        raise CommandError("--plan and --replay exclude each other")
    chosen = plans.read_record(replay) if replay else plans.read(plan) if plan else plans.Plan()
    on_fault = (lambda *_: None) if quiet else (lambda fault, ports: click.echo(fault.json_line()))
    proxy = (DatagramProxy if udp else Proxy)(listen, to, chosen, seed, time.monotonic_ns, on_fault)
    asyncio.run(serve(proxy, listen))
    for line in proxy.record.missed_faults(chosen, proxy.connection_count):
        click.echo(line, err=True)
    if record:
        try:
            proxy.record.save(record)
        except OSError as error:
            raise CommandError(f"--record {record}: {error.strerror or error}") from error
    return 0


async def serve(proxy: Proxy | DatagramProxy, listen: tuple[str, int]) -> None:
    """Run the proxy until SIGINT or SIGTERM; raise CommandError if it can't listen."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop.set)
    try:
        await proxy.start()
    except OSError as error:
        raise CommandError(
            f"--listen {listen[0]}:{listen[1]}: {error.strerror or error}"
        ) from error
    host, port = proxy.address
    click.echo(f"listening on {host}:{port}", err=True)
    await stop.wait()
    await proxy.stop()
