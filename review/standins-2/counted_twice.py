"""A proxy is cut off from the engine, another is restarted: does a maintenance begin with too few proxies?"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time

from maintenance import PREFIX, Staff, operators_file, steps_of
from standins import (
    BROKEN,
    HELD,
    CaseError,
    Client,
    Discovery,
    Engine,
    Place,
    Proxy,
    SessionServer,
    config,
    main,
    settings,
    wait_until,
)

PROXIES = 3
CLIENTS_EACH = 8
WATCHED_S = 55.0


class BrokenLink:
    """A proxy's link to the engine that takes connections and brings nothing through, until it is mended."""

    def __init__(self, place: Place, engine: Engine) -> None:
        self.port = place.free_port()
        self._place = place
        self._engine = engine
        self.is_broken = True

    async def start(self) -> None:
        await asyncio.start_server(self._serve, self._place.host, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if self.is_broken:
                await reader.read()
                return
            from_engine, to_engine = await asyncio.open_connection(self._place.host, self._engine.port)
            await asyncio.gather(_copy(reader, to_engine), _copy(from_engine, writer))
        writer.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    writer.close()


async def names_at_engine(engine: Engine) -> list[str]:
    """Return the names of the processes that hold a member's key, one for each process."""
    try:
        keys = await engine.read(PREFIX + "members/")
    except (OSError, TimeoutError, ValueError):
        return []
    return sorted(key.rpartition("/")[2].partition("-")[0] for key in keys)


async def case(place: Place) -> int:
    zones = ["aarhus-1", "odense-1"]
    servers = [SessionServer(place, f"s-{index}", zones[index % 2], "std-2c") for index in range(6)]
    for server in servers:
        await server.start()
    discovery = Discovery(place, servers)
    await discovery.start()
    engine = Engine(place)
    await engine.start()
    link = BrokenLink(place, engine)
    link.is_broken = place.trouble
    await link.start()
    plan = operators_file(place, engine, ["s-0"], members_least=PROXIES, step_s=300)
    proxies = []
    for rank in range(PROXIES):
        own = plan.replace(f":{engine.port}", f":{link.port}") if rank == 2 else plan
        locality = 0 if rank == 2 else rank
        site = settings(balancers=PROXIES, rank=rank, locality=locality)
        proxies.append(Proxy(place, f"n{rank}", config(discovery, site), operators=own))
    await asyncio.gather(*(proxy.start() for proxy in proxies))
    await asyncio.sleep(2.0)
    clients: dict[str, list[Client]] = {proxy.name: [] for proxy in proxies}
    for index in range(CLIENTS_EACH * PROXIES):
        proxy = proxies[index % PROXIES]
        client = Client(place, f"client-{proxy.name}-{index // PROXIES}", "c=patient-session")
        clients[proxy.name].append(client)
        place.spawn(client.run(proxy.port))
        await asyncio.sleep(0.2)
    staff = Staff(place, servers, proxies, discovery.tell)
    place.spawn(staff.run(engine))

    async def has_begun() -> bool:
        return await engine.ledger(PREFIX) is not None

    await wait_until(has_begun, 30.0, "the maintenance has a ledger")
    if place.trouble:
        await asyncio.sleep(2.0)
        if steps_of(await engine.ledger(PREFIX)):
            raise CaseError("a step began before the restart")
        leader = (await engine.read(PREFIX + "duty")).get(PREFIX + "duty", "")
        restarted = proxies[1] if leader.startswith("n0") else proxies[0]
        place.record.note("case", f"leader {leader}; planned restart of {restarted.name}")
        await restarted.end(signal.SIGTERM)
        await restarted.start()
    began_with = await watch(place, engine, staff)
    cut = [client.name for client in clients["n2"] if client.end in ("ended", "reset")]
    place.record.note("case", f"the step began with these processes at the engine: {began_with}")
    place.record.note("case", f"staff worked on {dict(staff.works)}; clients of n2 cut off without MOVE: {cut}")
    for name, each in clients.items():
        place.record.note("case", f"clients of {name}: {[client.end or client.answer for client in each]}")
    if not began_with:
        return HELD
    return BROKEN if len(set(began_with)) < PROXIES or cut else HELD


async def watch(place: Place, engine: Engine, staff: Staff) -> list[str]:
    """Watch until the machine was worked on; return the proxies at the engine as the step began."""
    began_with: list[str] = []
    shown: list[str] = []
    deadline = time.monotonic() + WATCHED_S
    while time.monotonic() < deadline:
        names = await names_at_engine(engine)
        if names != shown:
            shown = names
            place.record.note("engine", f"members: {names}")
        if not began_with and steps_of(await engine.ledger(PREFIX)):
            began_with = names
        if staff.works["s-0"] and not staff.busy:
            await asyncio.sleep(1.0)
            break
        await asyncio.sleep(0.05)
    return began_with


if __name__ == "__main__":
    main(case)
