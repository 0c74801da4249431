"""What the cases of the soak's stand-ins share: each plays one course of events
and says by its exit code what came of it."""

import argparse
import asyncio
import os
import pathlib
import shutil
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "review"))
from harness import NotReady  # noqa: E402


async def judge(fleet, play):
    """@param play a coroutine function that takes the fleet; it returns a line
    of text and true if all went as it should.
    @return the exit code: 1 if not or if a rule was broken, 0 if all held, 2
    if the run wasn't possible."""
    try:
        text, held = await play(fleet)
    except NotReady as error:
        print(f"not run: {error}")
        return 2
    finally:
        await fleet.stop()
    broken = fleet.history.broken
    print(f"{text}, starts in all: {len(fleet.history.starts)}, rules broken: "
          f"{len(broken)}")
    for rule, what in broken[:5]:
        print(f"  {rule}: {what}")
    return 1 if broken or not held else 0


def main(description, name, new_fleet, play):
    """Plays a case with the options of the command line, and exits.
    @param new_fleet returns the fleet for a folder and a build."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--build", required=True)
    parser.add_argument("--log-dir", type=pathlib.Path,
                        help="keeps the record and the logs of a failed run")
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"almondtally-{name}-"))
    code = asyncio.run(judge(new_fleet(folder, options.build), play))
    if options.log_dir and code:
        shutil.copytree(folder, options.log_dir / name, dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    # Calls of the stand-ins that still wait aren't awaited.
    os._exit(code)
