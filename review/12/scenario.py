"""Another writer leaves an entry that cannot be read among the servers."""

import asyncio
import pathlib
import random
import sys
import time

import harness_3 as harness

FOLDER = pathlib.Path(__file__).resolve().parent

FRONTS = 3
DESKS = 3
WARM_UP_S = 4.0
REQUESTS_PER_S = 60
AFTER_S = 6.0
# Timeout of the route, and the time after it by which there must be an answer.
TIMEOUT_S = 0.8
LATE_S = 0.5
CLIENT_DEADLINE_MS = 1500
# The rule counts from this many requests on.
MIN_LATE = 8
# Largest object of the store (value_bytes in the settings of the platform).
VALUE_BYTES = 1048576
# An empty row of a table.
ROW = b"[],"
# A string that was cut off within a character, as JSON escapes it.
CUT_OFF = rb'"moved to hall b \ud83d"'


def unreadable_spec():
    """Return JSON with many empty rows and one string of no valid text."""
    count = (VALUE_BYTES - 1000) // len(ROW)
    return b'{"rows":[' + ROW * count + CUT_OFF + b"]}"


class Check:
    """Counts requests without an answer at their timeout and after it."""

    def __init__(self, record):
        self.record = record
        self.unanswered = 0
        self.held = 0
        self.longest_s = 0.0

    def answered(self, request_id, took_s, status):
        """Note when a request was answered, or given up."""
        self.longest_s = max(self.longest_s, took_s)
        self.unanswered += took_s > TIMEOUT_S
        self.held += took_s > TIMEOUT_S + LATE_S
        self.record.write(
            f"request {request_id} answered {status} after {took_s:.3f} s"
        )


async def send_traffic(deployment, check):
    """Send requests at a steady rate until cancelled."""
    n = 0
    while True:
        n += 1
        asyncio.ensure_future(ask(deployment, check, n % FRONTS))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))


async def ask(deployment, check, front):
    """Send one request and record its answer."""
    request_id = harness.new_id()
    check.record.write(f"request {request_id} sent to front-{front}")
    started = time.monotonic()
    try:
        async with asyncio.timeout(CLIENT_DEADLINE_MS / 1000):
            status, _ = await harness.send_request(
                deployment.front_address(front),
                "/book/a",
                request_id,
                deadline_ms=CLIENT_DEADLINE_MS,
            )
    except TimeoutError:
        status = 0
    check.answered(request_id, time.monotonic() - started, status)


async def scenario(record, trouble):
    """Play the case; return the number of violations."""
    deployment = harness.Deployment(
        record, fronts=FRONTS, sides=0, desks=DESKS
    )
    check = Check(record)
    try:
        await deployment.start_standins()
        await deployment.start_programs()
        traffic = asyncio.ensure_future(send_traffic(deployment, check))
        await asyncio.sleep(WARM_UP_S)
        if trouble:
            spec = unreadable_spec()
            deployment.store.put_raw("servers", "x-other-writer", spec)
            record.write(f"another writer leaves {len(spec)} bytes")
        await asyncio.sleep(AFTER_S)
        traffic.cancel()
        await asyncio.sleep(2.0)
    finally:
        deployment.stop()
    text = (
        f"unanswered at the timeout {check.unanswered}, of these {LATE_S} s"
        f" later {check.held}; longest wait {check.longest_s:.3f} s"
    )
    record.write(text)
    print(text)
    broken = check.held >= MIN_LATE and check.held > check.unanswered / 2
    return check.held if broken else 0


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, scenario))
