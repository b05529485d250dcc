"""Runs a plan with real processes and returns the report that commands print."""

import json
import time
from pathlib import Path
from typing import Any

from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.testbed.cluster_testbed import RECORDING_FILE, ClusterTestBed
from cypresswalk.lab.cluster.testbed.recording import timeline
from cypresswalk.lab.cluster.testbed.result import conclude

REPORT_FILE = "report.json"


async def run_plan(plan: Plan, folder: Path) -> dict[str, Any]:
    """Run a plan and check the run.

    Args:
        plan: plan of the cluster.
        folder: folder for recording, logs and report; its previous content is deleted.

    Returns:
        The report, whose key `broken` lists the violations of rules.
    """
    testbed = ClusterTestBed(plan, folder)
    try:
        await testbed.start()
        began = time.monotonic()
        status = await testbed.convergence.wait()
        if status is None:
            return {"broken": [f"the fleet did not start: see the logs in {folder}"]}
        took_s = time.monotonic() - began
        await testbed.agree_on_bounds(status)
        testbed.clients.start()
        await testbed.player.play()
        result = await conclude(testbed)
        report = result.to_json() | {"began_in_s": round(took_s, 2)}
        (folder / REPORT_FILE).write_text(json.dumps(report, indent=1))
        return report
    finally:
        await testbed.stop()


def run_timeline(folder: Path) -> list[str]:
    """Return human-readable lines on a run: faults, calls and their answers, in order."""
    return timeline(folder / RECORDING_FILE)
