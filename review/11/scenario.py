"""Weights are named in a series."""

import asyncio
import pathlib
import random
import sys
import time

import harness_3 as harness

FOLDER = pathlib.Path(__file__).resolve().parent

FRONTS = 3
SIDES = 6
WARM_UP_S = 4.0
REQUESTS_PER_S = 30
# Versions 2 and up, as in the day beside this script.
VERSIONS = 24
NAMED_EVERY_S = 0.4
VERSION_S = harness.BOUNDS["version_ms"] / 1000
# Traffic goes on this long after the last version is named.
AFTER_S = 8.0


class Check:
    """Counts requests that begin on weights older than the bound allows."""

    def __init__(self, record):
        self.record = record
        self.named_at = {}
        self.late = 0
        self.longest_s = 0.0

    def began(self, server, request, version):
        """Note that a request begins to run."""
        now = time.monotonic()
        overdue_s = max(
            (
                now - at - VERSION_S
                for named, at in self.named_at.items()
                if named > version
            ),
            default=0.0,
        )
        late = overdue_s > 0
        self.late += late
        self.longest_s = max(self.longest_s, overdue_s)
        self.record.write(
            f"request {request.id} begins at {server.name} on version"
            f" {version}" + (f" LATE by {overdue_s:.3f} s" if late else "")
        )


async def send_traffic(deployment, record):
    """Send requests at a steady rate until cancelled."""
    n = 0
    while True:
        n += 1
        asyncio.ensure_future(ask(deployment, record, n % FRONTS))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


async def ask(deployment, record, front):
    """Send one request and record its answer."""
    request_id = harness.new_id()
    record.write(f"request {request_id} sent to front-{front}")
    status, _ = await harness.send_request(
        deployment.front_address(front), "/summary/a", request_id
    )
    record.write(f"request {request_id} answered {status}")


async def scenario(record, trouble):
    """Play the case; return the number of violations."""
    deployment = harness.Deployment(
        record, fronts=FRONTS, sides=SIDES, desks=0
    )
    check = Check(record)
    try:
        await deployment.start_standins()
        for server in deployment.servers:
            server.began = check.began
        await deployment.start_programs()
        traffic = asyncio.ensure_future(send_traffic(deployment, record))
        deployment.name_version(1)
        await asyncio.sleep(WARM_UP_S)
        # Without the disruption, one version is named.
        for version in range(2, 2 + (VERSIONS if trouble else 1)):
            check.named_at[version] = deployment.name_version(version)
            await asyncio.sleep(NAMED_EVERY_S)
        await asyncio.sleep(AFTER_S)
        traffic.cancel()
        await asyncio.sleep(1.0)
    finally:
        deployment.stop()
    if check.late:
        text = f"latest beginning {check.longest_s:.3f} s after the bound"
        record.write(text)
        print(text)
    return check.late


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, scenario))
