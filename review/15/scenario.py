"""Settings change while entries are starting."""

import asyncio
import pathlib
import signal
import sys

import harness_3 as harness

FOLDER = pathlib.Path(__file__).resolve().parent

FRONTS = 2
ENDS = 3
# The settings change this long after the start of a process.
CHANGED_AFTER_S = 0.3
# The platform starts a process that has ended again after this time.
RESTART_S = 0.5


async def start_and_change(program, record, trouble):
    """Start a program, change its settings; return how often it ends."""
    ends = 0
    for _ in range(ENDS):
        if program.process is None or program.process.poll() is not None:
            program.start()
            record.write(f"{program.name} is started")
        await asyncio.sleep(CHANGED_AFTER_S)
        text = program.settings.read_text()
        program.settings.write_text(text + f"# change {ends}\n")
        if trouble:
            program.signal(signal.SIGHUP)
            record.write(f"{program.name} gets SIGHUP")
        await asyncio.sleep(RESTART_S)
        code = program.process.poll()
        if code is not None:
            ends += 1
            record.write(f"{program.name} ended by itself, code {code}")
    return ends


async def scenario(record, trouble):
    """Play the case; return the number of violations."""
    deployment = harness.Deployment(record, fronts=FRONTS, sides=0, desks=2)
    try:
        await deployment.start_standins()
        ends = await asyncio.gather(
            *(
                start_and_change(program, record, trouble)
                for program in deployment.fronts
            )
        )
        for program in deployment.fronts:
            if program.process.poll() is not None:
                program.start()
        await asyncio.sleep(3.0)
        for n in range(FRONTS):
            ready = await deployment.is_ready(n)
            record.write(f"front-{n} ready: {ready}")
    finally:
        deployment.stop()
    # Two machines at least, three times each.
    ended = [n for n in ends if n >= ENDS]
    text = f"ends of the processes by themselves: {ends}"
    record.write(text)
    print(text)
    return len(ended) if len(ended) >= 2 else 0


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, scenario))
