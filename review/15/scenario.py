"""A server leaves as the store takes an entry back that it turned away."""

import asyncio
import pathlib
import random
import sys
import time

import harness_3 as harness

FOLDER = pathlib.Path(__file__).resolve().parent

FRONTS = 3
DESKS = 3
# The store turns this one of the entries away.
AWAY = 0
WARM_UP_S = 4.0
REQUESTS_PER_S = 100
WORK_S = 0.09
# With the wait for a call not over 9 s, the longest of the site.
AWAY_S = 7.0
# The store takes the entry back this long after it has begun a call.
CALL_AGE_S = 0.1
LEAVES_AFTER_S = 0.1
DRAIN_S = harness.BOUNDS["drain_ms"] / 1000
IN_TOUCH_S = harness.BOUNDS["stable_window_ms"] / 1000
# The server serves on for this long after the time in which it drains.
LINGER_S = 1.5
AFTER_S = 2.0


class Check:
    """Counts requests that reach a leaving server too late."""

    def __init__(self, record):
        self.record = record
        self.back_at = None
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
        taken_s = self.sent_at[request.id] - (self.back_at or 0.0)
        if since_s > DRAIN_S and taken_s > IN_TOUCH_S:
            self.late.append(request.id)
            self.record.write(
                f"request {request.id} LATE, {since_s:.3f} s after the"
                f" leaving was acknowledged; sent {taken_s:.3f} s after the"
                " store took the entry back"
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


async def wait_for_call(proxy):
    """Wait until the entry has just asked for the servers."""
    deadline = time.monotonic() + 5.0
    before = proxy.asked_at["servers"]
    while proxy.asked_at["servers"] == before:
        if time.monotonic() > deadline:
            raise harness.CaseError("the entry does not call the store")
        await asyncio.sleep(0.005)
    await asyncio.sleep(CALL_AGE_S)


async def scenario(record, trouble):
    """Play the case; return the number of violations."""
    deployment = harness.Deployment(
        record, fronts=FRONTS, sides=0, desks=DESKS, apart=(AWAY,)
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
        if trouble:
            proxy = deployment.own_proxies[AWAY]
            proxy.muted = True
            proxy.silence()
            record.write(f"the store does not answer front-{AWAY}")
            await asyncio.sleep(AWAY_S)
            await wait_for_call(proxy)
            proxy.muted = False
            check.back_at = time.monotonic()
            record.write(f"the store answers front-{AWAY} again")
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
