"""A server's entry is removed after connections to the store went silent."""

import asyncio
import pathlib
import random
import sys
import time

import harness_3 as harness

FOLDER = pathlib.Path(__file__).resolve().parent

FRONTS = 5
DESKS = 3
WARM_UP_S = 4.0
REQUESTS_PER_S = 120
WORK_S = 0.09
SETTLE_S = 1.0
# The connections go silent this long after the entries have renewed their
# watches of the configuration and the versions, and a server leaves a moment
# later.
SILENT_AFTER_S = 1.25
LEAVES_AFTER_S = 0.05
DRAIN_S = harness.BOUNDS["drain_ms"] / 1000
IN_TOUCH_S = harness.BOUNDS["stable_window_ms"] / 1000
# The server serves on for this long after the time in which it drains.
LINGER_S = 2.0
AFTER_S = 2.0


class Check:
    """Counts requests that reach a leaving server too late."""

    def __init__(self, record):
        self.record = record
        self.silent_at = None
        self.left_at = None
        self.leaver = None
        self.sent_at = {}
        self.late = []

    def arrived(self, server, request):
        """Note that a request reaches a server."""
        now = time.monotonic()
        self.record.write(f"request {request.id} reaches {server.name}")
        if server is not self.leaver or self.left_at is None:
            return
        since_s = now - self.left_at
        # The entry must be in touch from the arrival of the request on.
        taken_s = self.sent_at[request.id] - (self.silent_at or 0.0)
        if since_s > DRAIN_S and taken_s > IN_TOUCH_S:
            self.late.append(request.id)
            self.record.write(
                f"request {request.id} LATE, {since_s:.3f} s after the"
                f" leaving was acknowledged; sent {taken_s:.3f} s after the"
                " connections went silent"
            )


async def send_traffic(deployment, record, check, lost):
    """Send requests at a steady rate until cancelled."""
    n = 0
    while True:
        n += 1
        asyncio.ensure_future(ask(deployment, record, check, lost, n % FRONTS))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


async def ask(deployment, record, check, lost, front):
    """Send one request and record its answer."""
    request_id = harness.new_id()
    check.sent_at[request_id] = time.monotonic()
    record.write(f"request {request_id} sent to front-{front}")
    status, _ = await harness.send_request(
        deployment.front_address(front),
        "/book/a",
        request_id,
        deadline_ms=1500,
    )
    record.write(f"request {request_id} answered {status}")
    if status != 200 and request_id in check.late:
        lost.append(request_id)


async def wait_for_renewal(store):
    """Wait until all entries have just renewed their watches of versions."""
    deadline = time.monotonic() + 20.0
    while time.monotonic() < deadline:
        now = time.monotonic()
        watches = [
            at
            for at, kind, what in store.reads
            if kind == "versions" and what == "watch" and now - at < 0.3
        ]
        if len(watches) == FRONTS:
            return
        await asyncio.sleep(0.02)
    raise harness.CaseError("the entries do not renew their watches together")


async def scenario(record, trouble):
    """Play the case; return the number of violations."""
    deployment = harness.Deployment(
        record, fronts=FRONTS, sides=0, desks=DESKS
    )
    check = Check(record)
    lost = []
    try:
        await deployment.start_standins()
        for server in deployment.desks:
            server.arrived = check.arrived
            server.work_s = WORK_S
        await deployment.start_programs()
        traffic = asyncio.ensure_future(
            send_traffic(deployment, record, check, lost)
        )
        await asyncio.sleep(WARM_UP_S)
        # All entries begin their next watches as they have heard of these.
        deployment.name_version(1)
        deployment.configure(version=2)
        await asyncio.sleep(SETTLE_S)
        await wait_for_renewal(deployment.store)
        await asyncio.sleep(SILENT_AFTER_S)
        if trouble:
            count = deployment.proxy.silence()
            check.silent_at = time.monotonic()
            record.write(f"{count} connections to the store go silent")
        await asyncio.sleep(LEAVES_AFTER_S)
        check.leaver = deployment.desks[0]
        check.left_at = check.leaver.withdraw()
        record.write(f"the entry of {check.leaver.name} is removed")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        check.leaver.stop()
        record.write(f"{check.leaver.name} exits")
        await asyncio.sleep(AFTER_S)
        traffic.cancel()
        await asyncio.sleep(1.0)
    finally:
        deployment.stop()
    text = f"late {len(check.late)}, of these without an answer {len(lost)}"
    record.write(text)
    print(text)
    return len(check.late)


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, scenario))
