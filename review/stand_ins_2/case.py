"""Runs a case: sets the fleet up, ends every process, and gives the exit status."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins_2.backend import Backend
from stand_ins_2.fleet import Machine, loopback
from stand_ins_2.record import Record
from stand_ins_2.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 110.0


class Case:
    """The stand-ins and machines of one run, with the disruption if `trouble`."""

    def __init__(self, folder: Path, record: Record, *, trouble: bool) -> None:
        self.folder = folder
        self.record = record
        self.trouble = trouble
        self.store = Store()
        self.machines: list[Machine] = []
        self.backends: list[Backend] = []

    async def start_store(self) -> None:
        """Start the platform's store."""
        await self.store.start(loopback(1))

    def add_machine(
        self, name: str, zone: str, zones: list[str], service: str
    ) -> tuple[Machine, Backend]:
        """Add a machine with a server of a service."""
        number = len(self.machines) + 2
        store = f"{loopback(1)}:{self.store.port}"
        machine = Machine(
            name, number, zone, zones, service, store, self.folder, self.record
        )
        backend = Backend(machine, service, f"i-{name}", self.record)
        self.machines.append(machine)
        self.backends.append(backend)
        return machine, backend

    async def start(self) -> None:
        """Start all daemons and servers; wait until the daemons are ready."""
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.until_ready()
        for backend in self.backends:
            await backend.start()


def main(script: str, run: Callable[[Case], Awaitable[bool]], *, trouble: bool) -> None:
    """Run a case, which returns whether the rule held; exit with its status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    folder = Path(script).resolve().parent
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as scratch:
        case = Case(Path(scratch), record, trouble=trouble)
        status = NOT_RUN
        try:
            status = asyncio.run(_run(case, run))
        except Exception:
            traceback.print_exc()
            record.add("the case couldn't run")
        finally:
            for machine in case.machines:
                machine.kill()
            if logs := os.environ.get("CASE_LOGS"):
                for log in Path(scratch).glob("*.log"):
                    (Path(logs) / log.name).write_bytes(log.read_bytes())
            record.write()
    sys.exit(status)


async def _run(case: Case, run: Callable[[Case], Awaitable[bool]]) -> int:
    async with asyncio.timeout(LONGEST_S):
        held = await run(case)
    case.record.add("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
