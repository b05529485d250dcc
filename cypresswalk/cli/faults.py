"""`cypresswalk faults`: the fault proxy."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import click

from cypresswalk.refusal import CommandError

if TYPE_CHECKING:  # imported when the command runs, so that `--help` costs nothing
    from cypresswalk.faults.datagram_proxy import DatagramProxy
    from cypresswalk.faults.proxy import Proxy

MAX_PORT = 65535


def address(context: click.Context, option: click.Parameter, text: str) -> tuple[str, int]:
    """Reads HOST:PORT. Raises click.BadParameter."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise click.BadParameter(f"{text!r} is no HOST:PORT")
    return host, int(port)


@click.command()
@click.option(
    "--listen",
    required=True,
    callback=address,
    metavar="HOST:PORT",
    help="Address to listen on; port 0: any.",
)
@click.option(
    "--to", required=True, callback=address, metavar="HOST:PORT", help="Address to connect to."
)
@click.option(
    "--plan", type=click.Path(), help="TOML file of faults; without it all bytes pass unchanged."
)
@click.option(
    "--replay", type=click.Path(), help="A record, whose faults are injected in place of a plan's."
)
@click.option(
    "--seed", default=0, show_default=True, help="Seed for what the plan leaves to chance."
)
@click.option(
    "--record", type=click.Path(), help="File for what was injected, as JSON lines, at the end."
)
@click.option("--udp", is_flag=True, help="Datagrams instead of connections.")
@click.option("--quiet", is_flag=True, help="Print no line for each injected fault.")
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
    """Proxies connections, or datagrams, and injects the faults of a plan.

    Faults are bound to the connection's number and to byte offsets, so the same seed injects them
    at the same places. Each is printed as a JSON line; Ctrl-C ends the proxy, writes the record and
    names the faults that were never reached.
    """
    from cypresswalk.faults import plan as plans
    from cypresswalk.faults.datagram_proxy import DatagramProxy
    from cypresswalk.faults.proxy import Proxy

    if plan and replay:
        raise CommandError("--plan and --replay: one of them only")
    wanted = plans.read_record(replay) if replay else plans.read(plan) if plan else plans.Plan()
    told = (lambda *_: None) if quiet else (lambda fault, ports: click.echo(fault.line()))
    proxy = (DatagramProxy if udp else Proxy)(listen, to, wanted, seed, time.monotonic_ns, told)
    asyncio.run(serve(proxy, listen))
    for line in proxy.record.missed(wanted, proxy.connections):
        click.echo(line, err=True)
    if record:
        try:
            proxy.record.save(record)
        except OSError as error:
            raise CommandError(f"--record {record}: {error.strerror or error}") from error
    return 0


async def serve(proxy: Proxy | DatagramProxy, listen: tuple[str, int]) -> None:
    """Runs the proxy until SIGINT or SIGTERM. Raises CommandError where it can't listen."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
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
