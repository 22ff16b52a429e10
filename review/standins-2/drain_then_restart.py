"""An operator drains a proxy, which is then restarted as planned: is every client moved 4 s after the call?"""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Any

from standins import BROKEN, HELD, CaseError, Client, Discovery, Place, Proxy, SessionServer, config, main, settings

ZONES = ["dc-putrajaya", "dc-shah-alam", "dc-seremban"]
TENANTS = ["selangor", "johor", "sabah", "perak", "kedah", "kelantan"]
CLIENTS = 60
TERM_AFTER_S = 2.0
MOVED_AFTER_S = 4.05  # the page: 4 s after the call; every time limit is 50 ms longer
SLACK_S = 0.15  # for the script itself


def site(rank: int) -> dict[str, Any]:
    base = settings(balancers=3, rank=rank, locality=rank, discovery="subscribe")
    classes = [
        ("card-next", 500_000, 3_000_000, 2.0),
        ("deck-prefetch", 500_000, 2_000_000, 1.0),
        ("review-save", 800_000, 3_200_000, 5.0),
    ]
    profiles = [
        base["profiles"][0] | {"name": name, "on_time_us": aim, "deadline_us": deadline, "worth": worth}
        for name, aim, deadline, worth in classes
    ]
    rules = {"drain_grace_us": 750_000, "cold_from": 0.33, "cold_us": 8_900_000, "fall_multiple": 3.0}
    return base | {
        "areas": ZONES,
        "kinds": ["batch-a", "batch-b"],
        "layers": ["sesi-servers"],
        "profiles": profiles,
        "tenants": [{"name": name} for name in TENANTS],
        "over_share_worth": 0.05,
        "clients": {"marks_retry": True},
        "prices": base["prices"] | {"probe": 0.002, "cross_zone": 0.03, "moves": 0.03},
        "bounds": base["bounds"]
        | {"max_attempts": 3, "retry_after": False, "dial_timeout_us": 200_000, "conn_idle_us": 60_000_000},
        "domain": base["domain"] | {"message_aim_us": [150_000.0, 60_000.0, 60_000.0]},
        "report": {"via": "on_probe", "columns": ["outstanding", "errors_per_s", "backlog", "x0"]},
        "rules": base["rules"] | rules | {"fall_us": 2_000_000},
    }


async def case(place: Place) -> int:
    place.report_fields = ("inflight", "eps", "queue", "x0")
    servers = [SessionServer(place, f"s-{index:02}", ZONES[index % 3], "batch-a") for index in range(10)]
    for server in servers:
        await server.start()
    discovery = Discovery(place, servers)
    await discovery.start()
    proxies = [Proxy(place, f"n{rank}", config(discovery, site(rank)), management=True) for rank in range(3)]
    await asyncio.gather(*(proxy.start() for proxy in proxies))
    drained = proxies[0]
    await asyncio.sleep(2.5)
    clients = []
    for index in range(CLIENTS):
        client = Client(place, f"client-{index:02}", f"c=card-next,t={TENANTS[index % 6]}", 3000)
        clients.append(client)
        place.spawn(client.run(drained.port))
        await asyncio.sleep(0.125)  # 8 a second
    await asyncio.sleep(1.0)
    up = [client for client in clients if (client.answer or "").startswith("UP")]
    if len(up) < CLIENTS // 2:
        raise CaseError(f"only {len(up)} of {CLIENTS} clients are up")
    answer = await drained.call("POST", "/v1/proxy/drain")
    called_at = time.monotonic()
    if " 200 " not in answer:
        raise CaseError("the call to drain was not answered with yes")
    await asyncio.sleep(TERM_AFTER_S)
    if place.trouble:
        drained.send(signal.SIGTERM)
    await asyncio.sleep(called_at + MOVED_AFTER_S + SLACK_S - time.monotonic())
    held = [client.name for client in up if not client.end]
    place.record.note("case", f"{len(held)} of {len(up)} clients held and not moved {MOVED_AFTER_S} s after the call")
    await asyncio.sleep(2.0)
    late = sorted(round(client.ended_at - called_at, 2) for client in up if client.name in held)
    ends = sorted({client.end for client in up})
    place.record.note("case", f"they were moved this many seconds after the call: {late}; ends of all: {ends}")
    return BROKEN if held else HELD


if __name__ == "__main__":
    main(case)
