"""A refused HEAD request is answered with a body on a kept connection."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins

ROUNDS = 10
INTERVAL_S = 0.1
CRASHED_S = 4.5


async def scenario(record, scratch, programs, trouble) -> list[str]:
    """Play the case; return how the rule was broken."""
    deployment = standins.Deployment(
        record=record, scratch=scratch, programs=programs
    )
    await deployment.start()
    if trouble:
        for server in deployment.servers:
            await server.stop()
        record.say("all servers of the service crash")
    broken = []
    client = standins.Client(deployment.gateways[0])
    for number in range(ROUNDS):
        method = "HEAD" if number % 2 == 0 else "GET"
        request = await client.send(
            method,
            f"{deployment.prefix}bo77/2f",
            host=deployment.host,
            deadline_ms=1518,
        )
        try:
            async with asyncio.timeout(3.0):
                message, status = await client.read(method)
        except (ValueError, EOFError, TimeoutError) as error:
            record.say(f"{method} {request}: {error!r}")
            broken.append(f"MIXED: {method} {request} gets {error!r}")
            break
        record.say(f"{method} {request} gets {status}, id {message.id}")
        if message.id and message.id != request:
            broken.append(
                f"MIXED: {method} {request} gets the answer to {message.id}"
            )
            break
        await asyncio.sleep(INTERVAL_S)
    return broken


if __name__ == "__main__":
    standins.main(scenario, pathlib.Path(__file__).resolve().parent)
