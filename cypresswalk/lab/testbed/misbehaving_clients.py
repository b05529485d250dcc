"""Clients that break the protocol. A balancer must send them an error or disconnect them."""

import asyncio

from cypresswalk.lab.testbed.bed import ScenarioTestBed
from cypresswalk.lab.testbed.client_driver import ClientDriver
from cypresswalk.lab.testbed.streams import CONNECTION_ENDS, MAX_LINE_BYTES
from cypresswalk.lab.units import MILLISECOND

ANSWER_TIMEOUT_S = 3
FLOOD_LINES = 200
ENDLESS_LINE_BYTES = 20_000


async def misbehave(
    testbed: ScenarioTestBed, clients: ClientDriver, misbehaviour: str, zone: str, number: int
) -> None:
    """Run one misbehaving client; see `lab.clients.MISBEHAVIOURS`."""
    balancer = testbed.edges[zone].pick()
    if balancer is None or misbehaviour == "twice" and not clients.latest_id:
        return
    began = testbed.now()
    address = testbed.balancer_addresses[balancer]
    answer = "neither"
    try:
        reader, writer = await asyncio.open_connection(*address, limit=MAX_LINE_BYTES)
    except OSError:
        return
    try:
        if misbehaviour == "twice":
            testbed.observe("said_again", clients.latest_id, balancer)
        writer.write(misbehaviour_bytes(testbed, misbehaviour, number, clients.latest_id))
        line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
        answer = line.decode("ascii", "replace").strip().split(" ")[0] or "end"
    except TimeoutError:
        pass
    except CONNECTION_ENDS:
        answer = "reset"
    finally:
        writer.close()
    took_ms = (testbed.now() - began) / MILLISECOND
    testbed.observe("bad", "", balancer, sort=misbehaviour, answer=answer, took_ms=took_ms)


def misbehaviour_bytes(
    testbed: ScenarioTestBed, misbehaviour: str, number: int, latest_id: str
) -> bytes:
    """Return the bytes that a misbehaving client sends."""
    flow_type = testbed.experiment.types[0].name
    tenant = testbed.experiment.tenants[0].name
    valid = f"OPEN x{number} k1 c={flow_type},t={tenant},d=1000\r\n".encode()
    return {
        "silent": b"",
        "garbage": b"\x00\xff\x17GET / HTTP/1.1\r\n",
        "half a line": valid[: len(valid) // 2],
        "flood": valid * FLOOD_LINES,
        "unknown type": valid.replace(flow_type.encode(), b"no-such-type"),
        "endless line": b"OPEN " + b"a" * ENDLESS_LINE_BYTES,
        "twice": valid.replace(b"x%d" % number, latest_id.encode()),
    }[misbehaviour]
