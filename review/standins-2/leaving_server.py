"""Session servers drain and leave; were the clients on them told to move before?"""

from __future__ import annotations

import asyncio

from standins import BROKEN, HELD, CaseError, Client, Discovery, Place, Proxy, SessionServer, config, main, settings

ZONES = ["kelaniya", "rajagiriya", "moratuwa", "kadawatha"]
PROXIES = 4
SERVERS = 12
LEAVING = 4  # 12 to 8: the fleet shrinks by a factor of 1.5
DRAIN_S = 5.3  # the longest that the site file allows
NOTICE_S = 0.61  # the shortest that the site file allows
CLIENTS = 24
SETTLE_S = 3.0  # after the end of the servers


def site() -> dict[str, object]:
    classes = [
        ("lift-status", 300_000, 1_800_000, 5.0),
        ("tile-refresh", 800_000, 3_200_000, 1.0),
        ("piste-closures", 800_000, 4_800_000, 5.0),
        ("grooming-marks", 300_000, 1_800_000, 1.0),
    ]
    base = settings()
    profiles = [
        base["profiles"][0] | {"name": name, "on_time_us": aim, "deadline_us": deadline, "worth": worth}
        for name, aim, deadline, worth in classes
    ]
    domain = {"message_aim_us": [250_000.0, 60_000.0, 60_000.0, 250_000.0], "tells_load": True}
    rules = {"drain_grace_us": 400_000, "cold_from": 0.35, "cold_us": 8_200_000, "fall_multiple": 3.0}
    return base | {
        "areas": ZONES,
        "kinds": ["std-2c"],
        "layers": ["map-push"],
        "balancers": PROXIES,
        "profiles": profiles,
        "clients": {"marks_retry": True},
        "prices": base["prices"] | {"probe": 0.0019, "cross_zone": 0.02, "moves": 0.029},
        "bounds": base["bounds"] | {"max_attempts": 5, "max_retry_after_us": 2_000_000, "cpu_us_per_s": 500_000},
        "domain": base["domain"] | domain,
        "report": {"via": "on_probe", "columns": ["throughput", "errors_per_s", "utilization", "x0"]},
        "rules": base["rules"] | rules | {"fall_us": 3_000_000},
    }


async def case(place: Place) -> int:
    place.report_fields = ("qps", "eps", "util", "x0")
    servers = [SessionServer(place, f"s-{index:02}", ZONES[index % 4], "std-2c") for index in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(place, servers)
    await discovery.start()
    proxies = []
    for rank in range(PROXIES):
        proxy = Proxy(place, f"n{rank}", config(discovery, site() | {"rank": rank, "locality": rank}))
        proxies.append(proxy)
    await asyncio.gather(*(proxy.start() for proxy in proxies))
    await asyncio.sleep(2.5)  # the proxies learn of the load
    clients = []
    for index in range(CLIENTS):
        client = Client(place, f"client-{index:02}", "c=tile-refresh", 3200)
        clients.append(client)
        place.spawn(client.run(proxies[index % PROXIES].port))
        await asyncio.sleep(0.1)
    await asyncio.sleep(4.0)
    up = [client for client in clients if client.answer is not None and client.answer.startswith("UP")]
    if len(up) < CLIENTS // 2:
        raise CaseError(f"only {len(up)} of {CLIENTS} clients are up")
    by_load = sorted(servers, key=lambda server: -len(server.sessions))
    leaving = by_load[:LEAVING]
    there = {request_id for server in leaving for request_id in server.sessions.values()}
    if not there:
        raise CaseError("no client is at a leaving server")
    if place.trouble:
        await shrink(place, leaving, discovery)
    else:
        await asyncio.sleep(DRAIN_S)
    await asyncio.sleep(SETTLE_S)
    told = [client for client in up if client.request_id in there and client.end == "moved"]
    cut = [client for client in up if client.request_id in there and client.end in ("ended", "reset")]
    place.record.note("case", f"{len(there)} clients were at leaving servers: {len(told)} moved, {len(cut)} cut off")
    place.record.note("case", f"clients cut off without MOVE: {[client.name for client in cut]}")
    return BROKEN if cut else HELD


async def shrink(place: Place, leaving: list[SessionServer], discovery: Discovery) -> None:
    """The servers drain: nothing new, those there stay (goaway none); discovery tells it, then they end."""
    for server in leaving:
        server.is_draining = True
        place.record.note(server.name, f"begins to drain, with {len(server.sessions)} sessions")
    await asyncio.sleep(NOTICE_S)
    for server in leaving:
        discovery.tell(server.entry | {"lifecycle": "DRAINING"})
    await asyncio.sleep(DRAIN_S - NOTICE_S)
    for server in leaving:
        server.leave()
    await asyncio.sleep(NOTICE_S)
    for server in leaving:
        discovery.tell(server.entry | {"lifecycle": "DELETED"})


if __name__ == "__main__":
    main(case)
