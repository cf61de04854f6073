"""An entry of a service that nobody knows takes a sound server out of use."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins

UNKNOWN_SERVICE = "monitor-9"
DOWN_S = 1.0
RECOVERY_S = 12.0
REQUESTS = 60
INTERVAL_S = 0.05


def count_served(statuses: dict[str, int]) -> int:
    """Return how many requests were served."""
    return sum(status == 200 for status in statuses.values())


async def scenario(record, scratch, programs, trouble) -> list[str]:
    """Play the case; return how the rule was broken."""
    deployment = standins.Deployment(
        record=record, scratch=scratch, programs=programs, server_count=1
    )
    await deployment.start()
    before = count_served(await deployment.ask_all(REQUESTS, INTERVAL_S))
    record.say(f"before: {before} of {REQUESTS} requests served")
    if before < REQUESTS * 0.9:
        raise RuntimeError("not served before the final fault either")

    if trouble:
        server = deployment.servers[0]
        entry = {
            "service": UNKNOWN_SERVICE,
            "address": server.address,
            "zone": server.zone,
            "version": "v1",
            "slots": 1,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        deployment.store.put("servers", "i-0other", entry)
        record.say(f"another writer writes servers/i-0other: {entry}")
        await asyncio.sleep(2.0)
    for program in programs:
        program.send(signal.SIGKILL)
    record.say("all processes of the system are killed")
    await asyncio.sleep(DOWN_S)
    for program in programs:
        program.end()
        program.start()
    record.say("all processes are started again")
    await asyncio.sleep(RECOVERY_S)
    for name, ip in deployment.gateway_ips.items():
        ready = await standins.is_ready(f"{ip}:{deployment.ready}")
        record.say(f"{name} answers /v1/ready with 200: {ready}")
    after = count_served(await deployment.ask_all(REQUESTS, INTERVAL_S))
    record.say(f"after: {after} of {REQUESTS} requests served")
    if after < REQUESTS / 4:
        return [
            f"RECOVER: later than {RECOVERY_S:.0f} s after the start, {after}"
            f" of {REQUESTS} requests are served; {before} were before"
        ]
    return []


if __name__ == "__main__":
    standins.main(scenario, pathlib.Path(__file__).resolve().parent)
