"""`cypresswalk fleet`: what balancers have agreed, for people."""

import difflib
import json
import os
from typing import Any

import click

from cypresswalk.refusal import CommandError

UNSURE = 4


class Asked:
    def __init__(self, addresses: list[str], fleet: str, span: float):
        self.addresses, self.fleet, self.span = addresses, fleet, span

    def call(self, name: str, args: dict[str, Any] | None = None) -> Any:
        """The body of a yes. Raises Refusal with the reason for a no."""
        from cypresswalk.fleet import client

        try:
            ok, body = client.call(self.addresses, self.fleet, name, args, self.span)
        except client.UncertainOutcomeError as error:
            raise click.exceptions.Exit(said_unsure(str(error))) from None
        if not ok:
            raise CommandError(str(body.get("why", body) if isinstance(body, dict) else body))
        return body

    def command(self, name: str, **args: Any) -> Any:
        from cypresswalk.fleet import client

        return self.call(name, client.command_args(client.operator_name(), **args))


def said_unsure(why: str) -> int:
    click.echo(
        f"unsure: {why}\nIt may or may not come into force. `cypresswalk fleet settings show` and `fleet status` tell.",
        err=True,
    )
    return UNSURE


@click.group()
@click.option(
    "--operator",
    envvar="PROXY_OPERATOR",
    help="An operator file with [fleet]: whom to ask, of which fleet.",
)
@click.option(
    "--at",
    metavar="HOST:PORT[,HOST:PORT...]",
    help="Whom to ask, in place of those in the operator file.",
)
@click.option("--fleet", "name", help="Its name, with --at.")
@click.option("--seconds", default=5.0, show_default=True, help="How long to wait for an answer.")
@click.pass_context
def fleet(
    context: click.Context, operator: str | None, at: str | None, name: str | None, seconds: float
) -> None:
    """Asks and tells balancers that agree (docs/operators/fleet.md).

    Exit codes: 0 done, 2 refused or nobody could be asked, 4 no answer: it may or may not come into force."""
    if context.invoked_subcommand == "recover":
        return
    if at:
        if not name:
            raise CommandError("--fleet: the fleet's name is needed with --at")
        context.obj = Asked([part.strip() for part in at.split(",")], name, seconds)
        return
    if not operator:
        raise CommandError("--operator or --at: whom to ask")
    from cypresswalk import operator as operators

    table = operators.read(operator).fleet
    if table is None:
        raise CommandError(f"{operator}: it has no [fleet]")
    addresses = [
        table.address,
        *(where for where in table.first.values() if where != table.address),
    ]
    context.obj = Asked(addresses, table.fleet, seconds)


@fleet.command()
@click.option("--json", "plain", is_flag=True, help="As JSON.")
@click.pass_obj
def status(asked: Asked, plain: bool) -> None:
    """Members, leader, versions and since when each acts on which, leases, who is behind, who lost its disk."""
    body = asked.call("status")
    if plain:
        click.echo(json.dumps(body, indent=1))
        return
    click.echo(
        f"group {body['group']}  leader {body['leader'].partition('#')[0]}  term {body['term']}  version {body['version']}"
        f"  settings of version {body['settings_version']}  list {body['list_generation']}"
    )
    if body["pending"]:
        click.echo(f"pending: an offer by {body['pending'][1]}")
    standing = {
        name: "" if count is None else f"; {count} flows stand there"
        for name, count in body["standing"].items()
    }
    for name, (by, at) in sorted(body["out"].items()):
        click.echo(f"server {name} is out, by {by}{standing.get(name, '')}")
    for name in body["held_out"]:
        click.echo(f"server {name} is out, by the release{standing.get(name, '')}")
    for name in sorted(body["coming"]):
        click.echo(f"server {name} is back, not seen ready yet")
    for name, why in sorted(body["servers_bad"].items()):
        click.echo(f"server {name} is {why}")
    if body["halted"]:
        click.echo(
            f"HALTED by {body['halted'][0]}: {body['halted'][2]}; nothing more goes out until `fleet resume`"
        )
    for name, why in sorted(body["seen_out"].items()):
        click.echo(f"balancer {name} is out: {why}")
    for name, (by, _, why) in sorted(body["away"].items()):
        click.echo(f"balancer {name} may be out: {why}, by {by}")
    if body["parts_without_copies"]:
        click.echo(f"no copy is heard of parts {body['parts_without_copies']}: `fleet copies`")
    for m in sorted(body["members"], key=lambda m: (not m["voter"], m["name"])):
        acts = (
            "acts on nothing yet"
            if m["acts_on"] is None
            else f"acts on {m['acts_on']} for {m['since_s']:.1f} s"
        )
        marks = [
            text
            for text, on in (
                ("leads", m["leads"]),
                ("no lease", m["lapsed"]),
                (f"{m['behind']} entries behind", m["behind"] > 0),
                (f"unheard for {m['heard_s']:.1f} s", m["heard_s"] > 2),
                (f"gave up its identity {m['wipes']} times", m["wipes"]),
            )
            if on
        ]
        click.echo(
            f"  {m['name']:<16} {'voter' if m['voter'] else 'follows':<8} {m['zone'] or '-':<8} {m['address']:<22} {acts}"
            + (f"  ({', '.join(marks)})" if marks else "")
        )


@fleet.command()
@click.pass_obj
def local(asked: Asked) -> None:
    """What the balancer asked knows by itself, for when the fleet can't agree."""
    click.echo(json.dumps(asked.call("local"), indent=1))


@fleet.group()
def settings() -> None:
    """The settings that all act on: check, offer, show, diff, history, back."""


def loaded(path: str) -> dict[str, Any]:
    """The shared part of a balancer's configuration, or a file of that part alone. Raises Refusal."""
    from cypresswalk.fleet.core_binding import SHARED, shared

    try:
        with open(path, "rb") as file:
            data = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise CommandError(f"{path}: {error}") from None
    if not isinstance(data, dict):
        raise CommandError(f"{path}: not an object")
    if isinstance(data.get("settings"), dict):
        return shared(data["settings"])
    if unknown := sorted(set(data) - set(SHARED)):
        raise CommandError(
            f"{path}: {', '.join(unknown)}: not among what the fleet agrees on ({', '.join(SHARED)})"
        )
    return data


def text(value: Any) -> list[str]:
    return json.dumps(value, indent=1, sort_keys=True).splitlines()


def of_version(asked: Asked, number: int | None) -> tuple[int, dict[str, Any]]:
    body = asked.call("show")
    if number is None:
        return body["settings_version"], body["settings"]
    for version, values in body["kept"]:
        if version == number:
            return version, values
    raise CommandError(
        f"version {number}: no settings of that version are kept; there are "
        + ", ".join(str(version) for version, _ in body["kept"])
    )


@settings.command()
@click.argument("file")
@click.option(
    "--config",
    envvar="PROXY_CONFIG",
    help="A balancer's configuration to check it with; none: the file's own form alone.",
)
def check(file: str, config: str | None) -> None:
    """Whether a balancer with this configuration could act on them."""
    values = loaded(file)
    if config:
        from cypresswalk.fleet.core_binding import objection
        from cypresswalk.net.config import ConfigError, read

        try:
            why = objection(read(config)["settings"], values)
        except (ConfigError, KeyError) as error:
            raise CommandError(f"{config}: {error}") from None
        if why:
            raise CommandError(f"{file}: {why}")
    click.echo("sound")


@settings.command()
@click.argument("file")
@click.option(
    "--on", "base", type=int, help="The version that it was made on; none: the newest now."
)
@click.pass_obj
def offer(asked: Asked, file: str, base: int | None) -> None:
    """Makes them the newest, if nobody has changed the settings since, and every balancer can read them."""
    values = loaded(file)
    if base is None:
        base = of_version(asked, None)[0]
    click.echo(asked.command("offer", base=base, settings=values)["why"])


@settings.command()
@click.option("--version", "number", type=int, help="An older one.")
@click.pass_obj
def show(asked: Asked, number: int | None) -> None:
    """The settings in force, as JSON that `offer` takes."""
    version, values = of_version(asked, number)
    click.echo(f"version {version}", err=True)
    click.echo("\n".join(text(values)))


@settings.command()
@click.argument("file")
@click.option("--version", "number", type=int, help="Against an older one.")
@click.pass_obj
def diff(asked: Asked, file: str, number: int | None) -> None:
    """What a file would change."""
    version, values = of_version(asked, number)
    for line in difflib.unified_diff(
        text(values), text(loaded(file)), f"version {version}", file, lineterm="", n=2
    ):
        click.echo(line)


@settings.command()
@click.pass_obj
def history(asked: Asked) -> None:
    """Who did what when, the newest last."""
    from datetime import datetime

    for version, by, at, what in asked.call("history")["history"]:
        when = datetime.fromtimestamp(at / 1000).isoformat(" ", "seconds") if at else "-"
        click.echo(f"{version:>6}  {when:<19}  {by}: {what}")


@settings.command()
@click.argument("version", type=int)
@click.pass_obj
def back(asked: Asked, version: int) -> None:
    """Makes older settings the newest."""
    _, values = of_version(asked, version)
    click.echo(asked.command("offer", base=of_version(asked, None)[0], settings=values)["why"])


@fleet.group(invoke_without_command=True)
@click.option("--json", "plain", is_flag=True, help="As JSON.")
@click.pass_context
def copies(context: click.Context, plain: bool) -> None:
    """Where the ids that must not run twice lie, which parts lack copies since when, how far making up is; `check`, `renew`."""
    if context.invoked_subcommand is not None:
        return
    body = context.obj.call("copies")
    if plain:
        click.echo(json.dumps(body, indent=1))
        return
    if not body["copies"]:
        raise CommandError("the leader keeps no copies: its operator file has no [fleet.copies]")
    click.echo(
        f"{len(body['parts'])} parts, {body['copies']} copies asked for, {body['least']} needed; "
        f"{len(body['lacking'])} lack copies, {len(body['changing'])} are being changed, {len(body['lost'])} have none left"
    )
    for part, view, holders in body["parts"]:
        marks = [
            text
            for text, on in (
                (
                    f"LOST for {body['lost'].get(str(part), 0)} s: claims refused",
                    str(part) in body["lost"],
                ),
                ("no copy heard", part in body["away"] and str(part) not in body["lost"]),
                (
                    f"lacks copies for {body['lacking'].get(str(part), 0)} s",
                    str(part) in body["lacking"],
                ),
                ("being changed", str(part) in body["changing"]),
            )
            if on
        ]
        click.echo(
            f"  part {part:<3} view {view:<4} "
            + ", ".join(h.partition("#")[0] for h in holders)
            + (f"  ({'; '.join(marks)})" if marks else "")
        )


@copies.command("check")
@click.pass_obj
def copies_check(asked: Asked) -> None:
    """Asks every holder and compares what they have. Exit code 1 if any part is not alike at all its holders, three times over."""
    from time import sleep

    lines, places = [], set()
    for look in range(3):
        lines = compared(asked)
        found = {line.partition(":")[0] for line in lines}
        places = found if look == 0 else places & found
        if not places:
            click.echo("every part is whole and alike at all its holders")
            return
        sleep(2)  # claims go on: what is on its way to a copy differs for a moment
    for line in (line for line in lines if line.partition(":")[0] in places):
        click.echo(line)
    raise click.exceptions.Exit(1)


def compared(asked: Asked) -> list[str]:
    from cypresswalk.fleet import client

    status, body = asked.call("status"), asked.call("copies")
    told, missing = {}, []
    for member in status["members"]:
        try:
            ok, local = client.call(
                [member["address"]], asked.fleet, "copies_local", None, asked.span
            )
        except (client.UncertainOutcomeError, CommandError) as error:
            missing.append(f"{member['name']}: {error}")
            continue
        told[member["id"]] = local if ok else {}
    return missing + client.differing_replicas(body["parts"], told)


@copies.command()
@click.argument("parts", nargs=-1, type=int, required=True)
@click.option("--yes", is_flag=True, help="Without asking.")
@click.pass_obj
def renew(asked: Asked, parts: tuple[int, ...], yes: bool) -> None:
    """Lets parts of which no copy is left begin with nothing, before their time has passed: what was claimed there may run again."""
    from cypresswalk.fleet import client

    if not yes:
        click.confirm(
            "Ids claimed in these parts within the last minutes may run a second time. Begin with nothing?",
            abort=True,
        )
    click.echo(
        asked.call("copies_renew", {"parts": list(parts), "by": client.operator_name()})["why"]
    )


@fleet.group()
def release() -> None:
    """Changes balancers to another version, in waves, within the bounds, with a halt and a way back."""


def planned(asked: Asked, path: str) -> list[Any]:
    from cypresswalk.rollout import plan

    status = asked.call("status")
    members = {m["name"]: m["zone"] for m in status["members"] if m["name"] not in status["left"]}
    return plan.read(
        path, members, {name: str(zone) for name, zone, *_ in asked.call("show")["servers"]}
    )


@release.command("plan")
@click.argument("file")
@click.pass_obj
def release_plan(asked: Asked, file: str) -> None:
    """Which balancers would be changed in which waves; nothing is begun."""
    body = planned(asked, file)
    click.echo(f"release {body[0]}: {body[1]} -> {body[2]}, each wave holds {body[4]:g} s")
    for number, wave in enumerate(body[3]):
        click.echo(f"  wave {number}: {', '.join(wave)}")


@release.command()
@click.argument("file")
@click.pass_obj
def start(asked: Asked, file: str) -> None:
    """Begins it, unless another is under way."""
    click.echo(asked.command("release_begin", plan=planned(asked, file))["why"])


@release.command("status")
@click.option("--json", "plain", is_flag=True, help="As JSON.")
@click.pass_obj
def release_status(asked: Asked, plain: bool) -> None:
    """How far it is, what it waits for, and who is out."""
    body = asked.call("release")
    if plain:
        click.echo(json.dumps(body, indent=1))
        return
    if not body["release"]:
        click.echo("there is no release")
        return
    plan, by, _, phase, wave, members, said = body["release"]
    click.echo(
        f"release {plan[0]} by {by}: {plan[1]} -> {plan[2]}, {phase}, wave {wave} of {len(plan[3])}"
        + (f"; HALTED by {body['halted'][0]}: {body['halted'][2]}" if body["halted"] else "")
    )
    if body["waits"]:
        click.echo(f"  {body['waits']}")
    for number, names in enumerate(plan[3]):
        click.echo(
            f"  wave {number}: "
            + ", ".join(
                f"{name} {members[name]}" + (f" ({said[name]})" if said.get(name) else "")
                for name in names
            )
        )


def named(asked: Asked) -> str:
    release = asked.call("release")["release"]
    if not release:
        raise CommandError("there is no release")
    return release[0][0]


@release.command()
@click.pass_obj
def pause(asked: Asked) -> None:
    """Nothing more is begun until `resume`; what is being changed is finished."""
    click.echo(asked.command("release_pause", release=named(asked), on=True)["why"])


@release.command("resume")
@click.pass_obj
def release_resume(asked: Asked) -> None:
    """Goes on after a pause. After a halt `fleet resume` comes first."""
    click.echo(asked.command("release_pause", release=named(asked), on=False)["why"])


@release.command("back")
@click.pass_obj
def release_back(asked: Asked) -> None:
    """Every balancer that was changed goes back to the version before, within the bounds, the worst first; also while halted."""
    click.echo(asked.command("release_back", release=named(asked))["why"])


@fleet.command(context_settings={"ignore_unknown_options": True})
@click.option("--member", help="Its balancer's name in the fleet.")
@click.option("--server", help="In place of it, a server's id as the list names it.")
@click.option(
    "--root",
    required=True,
    type=click.Path(exists=True, file_okay=False),
    help="Where versions stand, a folder each.",
)
@click.option("--folder", required=True, type=click.Path(), help="Its own, for what it is doing.")
@click.option("--first", required=True, help="The version to run if it has run none yet.")
@click.option(
    "--admin",
    nargs=2,
    help="A balancer's two addresses for calls, HOST:PORT: one for each of two processes side by side.",
)
@click.option("--answers", help="A server's address, HOST:PORT, where it answers PING.")
@click.argument("command", nargs=-1, required=True)
@click.pass_obj
def agent(
    asked: Asked,
    member: str | None,
    server: str | None,
    root: str,
    folder: str,
    first: str,
    admin: tuple[str, str] | None,
    answers: str | None,
    command: tuple[str, ...],
) -> None:
    """Runs a balancer, or a server, by COMMAND in the folder of its version, and changes it when a release says so."""
    import logging
    import signal
    from pathlib import Path

    from cypresswalk.rollout.agent import Agent
    from cypresswalk.rollout.balancer_agent import BalancerAgent
    from cypresswalk.rollout.server_agent import ServerAgent

    if not (
        member
        and admin
        and not server
        and not answers
        or server
        and answers
        and not member
        and not admin
    ):
        raise CommandError("--member with --admin, or --server with --answers")
    logging.basicConfig(
        level=logging.INFO, format="ts=%(created).3f level=%(levelname)s %(message)s"
    )
    made = Agent(
        member or server,
        asked.fleet,
        asked.addresses,
        Path(root),
        Path(folder),
        first,
        admin or (answers, answers),
        list(command),
        BalancerAgent if member else ServerAgent,
    )

    def stop(*_: object) -> None:
        made.over = True

    signal.signal(signal.SIGTERM, stop)
    made.run()


@fleet.command()
@click.argument("why")
@click.pass_obj
def halt(asked: Asked, why: str) -> None:
    """Nothing more goes out by any call, at any balancer, from the yes on, until `resume`. What is out may come back."""
    click.echo(asked.command("halt", why=why)["why"])


@fleet.command()
@click.pass_obj
def resume(asked: Asked) -> None:
    """Ends a halt."""
    click.echo(asked.command("resume", halts=asked.call("status")["halts"])["why"])


@fleet.group()
def server() -> None:
    """Servers out by hand, for all balancers."""


def taken(asked: Asked, name: str, ident: str, **more: Any) -> None:
    """The yes means that every balancer acts on it, or may act no more."""
    body = asked.command(name, server=ident, **more)
    asked.span = max(
        asked.span, 130.0
    )  # twice the longest time that may be stated, and an election
    asked.call("settled", {"version": body["version"]})
    click.echo(f"{ident} is {'out' if name == 'out' else 'back'} at every balancer ({body['why']})")


@server.command()
@click.argument("ident")
@click.option("--force", is_flag=True, help="Beyond the bounds too; recorded.")
@click.option(
    "--empty",
    type=float,
    default=0.0,
    metavar="SECONDS",
    help="Wait so long until no flow stands there.",
)
@click.pass_obj
def down(asked: Asked, ident: str, force: bool, empty: float) -> None:
    """Takes it out at every balancer; after the yes nothing new goes there and it may be switched off once it is empty."""
    from time import monotonic, sleep

    taken(asked, "out", ident, forced=force)
    until = monotonic() + empty
    while empty:
        standing = asked.call("status")["standing"].get(ident)
        if standing == 0:
            click.echo("no flow stands there")
            return
        if monotonic() > until:
            raise CommandError(
                f"{'an unknown number of' if standing is None else standing} flows stand there after {empty:g} s"
            )
        sleep(0.5)


@server.command()
@click.argument("ident")
@click.pass_obj
def up(asked: Asked, ident: str) -> None:
    """Puts it back at every balancer."""
    taken(asked, "back", ident)


@fleet.command()
@click.argument("member")
@click.option("--voter", is_flag=True, help="It is to vote.")
@click.pass_obj
def join(asked: Asked, member: str, voter: bool) -> None:
    """Lets a balancer in that had left, or makes one a voter."""
    asked.command("join", member=member, voter=voter)
    click.echo(f"{member} may join" + (", and votes once it has caught up" if voter else ""))


@fleet.command()
@click.argument("member")
@click.pass_obj
def leave(asked: Asked, member: str) -> None:
    """Takes a balancer out of the fleet for good."""
    asked.command("leave", member=member)
    click.echo(f"{member} leaves")


@fleet.command()
@click.argument("member")
@click.argument("other")
@click.pass_obj
def replace(asked: Asked, member: str, other: str) -> None:
    """Has another member vote in the place of one that is gone."""
    asked.command("replace", member=member, other=other)
    click.echo(f"{other} votes in the place of {member} once it has caught up")


@fleet.command("list-anew")
@click.pass_obj
def list_anew(asked: Asked) -> None:
    """The list's source begins its versions anew: the next list that most voters were told counts, whatever its number."""
    asked.command("renew")
    click.echo("the next list counts")


@fleet.command()
@click.argument("folder")
@click.option("--fleet", "name", required=True, help="The fleet's name.")
@click.option(
    "--name", "member", required=True, help="The balancer whose folder it is; it must not run."
)
@click.option("--yes", is_flag=True, help="Do not ask.")
def recover(folder: str, name: str, member: str, yes: bool) -> None:
    """Most voters are lost for good: begins a new group from this one's folder and fences the old group off.

    What only the lost ones had is lost. Never while most voters of the old group may still run somewhere: both groups would act."""
    from cypresswalk.fleet import client, recovery

    if not yes:
        click.echo(
            "The members of the old group that still run will give up what they have and join this one. If most voters of the\n"
            "old group run on somewhere, two groups act side by side, and rules of both are in force at once."
        )
        click.confirm("Are most voters lost for good?", abort=True)
    done = recovery.recover(os.path.abspath(folder), name, member, client.operator_name())
    click.echo(json.dumps(done, indent=1))
