"""The platform's store gets another address, and the settings say so."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

import standins

NEW_STORE_IP = "127.0.0.13"
OTHER_SERVICE = "wuno96b"
# Between two machines that get SIGHUP.
HUP_GAP_S = 2.0
# The store still answers at its earlier address for this time.
OVERLAP_S = 3.0
# Longer than stable_window_ms.
CALM_S = 4.0
CONFIG_APPLY_S = 2.0
SLACK_S = 1.0
REQUESTS = 60
INTERVAL_S = 0.05


async def scenario(record, scratch, programs, trouble) -> list[str]:
    """Play the case; return how the rule was broken."""
    deployment = standins.Deployment(
        record=record, scratch=scratch, programs=programs
    )
    store = deployment.store
    other = standins.Server(
        f"{deployment.other_ip}:{deployment.port}",
        store=store,
        record=record,
        service=OTHER_SERVICE,
        zone="cairo-hall-a",
        slots=6,
        queue=24,
    )
    configuration = deployment._configuration("idempotent")
    configuration["services"].append(
        {
            "name": OTHER_SERVICE,
            "health_path": "/health",
            "max_connections": 110,
        }
    )
    store.put("config", "main", configuration)
    await deployment.start()
    await other.start()
    await asyncio.sleep(CALM_S)
    before = await deployment.ask_all(REQUESTS // 3, INTERVAL_S)
    if trouble:
        # One store with its objects and revisions, at two addresses.
        moved = standins.Store(f"{NEW_STORE_IP}:{deployment.port}")
        moved.__dict__.update(
            store.__dict__,
            address=moved.address,
            server=None,
            connections=set(),
        )
        await moved.start()
        record.say(f"the store answers at {moved.address} too")
        for program in programs:
            text = program.settings.read_text()
            program.settings.write_text(
                text.replace(store.address, moved.address)
            )
            program.send(signal.SIGHUP)
            record.say(f"{program.name}: new settings and SIGHUP")
            await asyncio.sleep(HUP_GAP_S)
        await asyncio.sleep(OVERLAP_S)
        await store.stop()
        record.say(f"the store no longer answers at {store.address}")
        for server in (*deployment.servers, other):
            server.store = moved
        store = moved
    await asyncio.sleep(CALM_S)
    configuration["version"] = 9
    configuration["routes"][0]["service"] = OTHER_SERVICE
    store.put("config", "main", configuration)
    record.say("version 9 moves the route to another service")
    await asyncio.sleep(CONFIG_APPLY_S + SLACK_S)
    after = await deployment.ask_all(REQUESTS, INTERVAL_S)
    old = [r for s in deployment.servers for r in s.runs if r in after]
    record.say(
        f"before: {sum(s == 200 for s in before.values())} of {len(before)}"
        f" served; after: {len(old)} run by the old service,"
        f" {sum(r in after for r in other.runs)} by the new one"
    )
    if not old:
        return []
    return [
        f"CONFIG: {len(old)} of {len(after)} requests that were sent"
        f" {CONFIG_APPLY_S + SLACK_S:.0f} s or more after version 9 was"
        " acknowledged are run by the service of version 7"
    ]


if __name__ == "__main__":
    standins.main(scenario, pathlib.Path(__file__).resolve().parent)
