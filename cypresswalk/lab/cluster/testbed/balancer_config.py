"""The configuration files that a balancer of a cluster reads when it starts."""

import json
from collections.abc import Mapping

from cypresswalk.lab.balancers import address_text
from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.testbed.addresses import Address
from cypresswalk.lab.cluster.testbed.balancer_host import BalancerHost
from cypresswalk.lab.cluster.testbed.fleet_calls import FLEET_NAME
from cypresswalk.lab.cluster.testbed.settings import balancer_settings

MAX_MIN_REPLICAS = 2  # at most this many replicas must store a reservation before its grant


def write_config(host: BalancerHost, number: int, plan: Plan, list_address: Address) -> None:
    """Write the configuration file that the platform provides in production."""
    config = {
        "name": host.name,
        "listen": address_text(host.listen),
        "discovery": address_text(list_address),
        "admin_addr": address_text(host.admin),
        "seed": f"{number + 1:016x}",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 1024},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": balancer_settings(number, plan.balancers),
    }
    host.config_file.write_text(json.dumps(config))


def write_operator_file(
    host: BalancerHost,
    number: int,
    plan: Plan,
    seed_members: Mapping[str, Address],
    links: Mapping[str, Address],
) -> None:
    """Write the operator file.

    Args:
        host: host of the balancer.
        number: index of the balancer.
        plan: plan of the cluster.
        seed_members: fleet address of each voter.
        links: address by which this balancer reaches each other one.
    """
    lines = [
        "[fleet]",
        f'fleet = "{FLEET_NAME}"',
        f'name = "{host.name}"',
        f'address = "{address_text(host.fleet)}"',
        f'folder = "{host.fleet_folder}"',
        f'zone = "z{number % plan.zones}"',
        f"stated_s = {plan.max_contradiction_s}",
        "[fleet.first]",
        *_address_lines(seed_members),
        "[fleet.via]",
        *_address_lines(links),
    ]
    if plan.replicas:
        lines += [
            "[fleet.copies]",
            f"copies = {plan.replicas}",
            f"least = {min(plan.replicas, MAX_MIN_REPLICAS)}",
        ]
    host.operator_file.write_text("\n".join(lines) + "\n")


def _address_lines(addresses: Mapping[str, Address]) -> list[str]:
    return [f'{name} = "{address_text(address)}"' for name, address in addresses.items()]
