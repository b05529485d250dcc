"""`cypresswalk faults`: the fault tool for people."""

import asyncio
import signal
import time

import click

from cypresswalk.refusal import CommandError


def address(context: click.Context, option: click.Parameter, text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise click.BadParameter(f"{text!r} is no HOST:PORT")
    return host, int(port)


@click.command()
@click.option(
    "--listen",
    required=True,
    callback=address,
    metavar="HOST:PORT",
    help="Where to listen; port 0: any.",
)
@click.option(
    "--to", required=True, callback=address, metavar="HOST:PORT", help="Where connections go on to."
)
@click.option("--plan", type=click.Path(), help="TOML file of faults; none: all passes as it is.")
@click.option(
    "--replay", type=click.Path(), help="A record: its faults at their places, in place of a plan."
)
@click.option(
    "--seed", default=0, show_default=True, help="Where the plan leaves something to chance."
)
@click.option(
    "--record", type=click.Path(), help="Where to write, at the end, what was done, as JSON lines."
)
@click.option("--udp", is_flag=True, help="Datagrams instead of connections.")
@click.option("--quiet", is_flag=True, help="No line for each fault as it strikes.")
def faults(
    listen: tuple,
    to: tuple,
    plan: str | None,
    replay: str | None,
    seed: int,
    record: str | None,
    udp: bool,
    quiet: bool,
) -> int:
    """Sits between sockets and does to the bytes what a plan says.

    Faults are bound to the connection's number and to byte offsets, so the same seed strikes at the same places. Each
    is printed as a JSON line; Ctrl-C ends it, writes the record and names what was never reached."""
    from cypresswalk.faults import plan as plans
    from cypresswalk.faults.proxy import DatagramProxy, Proxy

    if plan and replay:
        raise CommandError("--plan and --replay: one of them only")
    wanted = plans.read_record(replay) if replay else plans.read(plan) if plan else plans.Plan()
    told = (lambda *_: None) if quiet else (lambda fault, ports: click.echo(fault.line()))
    proxy = (DatagramProxy if udp else Proxy)(listen, to, wanted, seed, time.monotonic_ns, told)

    async def run() -> None:
        loop, stop = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, stop.set)
        try:
            await proxy.start()
        except OSError as error:
            raise CommandError(
                f"--listen {listen[0]}:{listen[1]}: {error.strerror or error}"
            ) from None
        click.echo("listening on %s:%d" % proxy.address, err=True)
        await stop.wait()
        await proxy.stop()

    asyncio.run(run())
    for line in proxy.record.missed(wanted, proxy.connections):
        click.echo(line, err=True)
    if record:
        try:
            proxy.record.save(record)
        except OSError as error:
            raise CommandError(f"--record {record}: {error.strerror or error}") from None
    return 0
