"""A proxy is replaced by a new process while discovery is down: is a server that has just started pushed over?"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
from pathlib import Path

from standins.clients import Clients, Front
from standins.platform import Agent, call, instance
from standins.process import RUN, Child, config, could_not_run, free_port, run, settings
from standins.record import Record
from standins.servers import SessionServer

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent
ZONES = ["aarhus-1", "odense-1"]
SERVERS = 6  # "Today 6 to 8 session servers"
SESSIONS = 120  # of this proxy: 3.8 new connections a second that live 26 to 200 s, over 2 to 3 proxies
RESTARTED = "s-2"
LISTEN_FD = 4
BINDS_S = 2.0  # "What discovery tells binds 2 s after the yes."
OUTAGE_S = 8.0  # "discovery is down for 8 s"
READY_S = 6.0  # "The new process has 6 s to say yes."
KILL_S = 2.7  # "SIGKILL after the longest deadline (3 s at most) and 0.7 s"


async def wait_for_yes(port: int, record: Record, timeout: float) -> float | None:
    """Return when the process says that it takes clients."""
    deadline = record.now() + timeout
    while record.now() < deadline:
        status, _ = await call(port, "GET", "/v1/readyz")
        if status == 200:
            return record.write(f"readyz on port {port}: yes")
        await asyncio.sleep(0.05)
    return None


async def play(record: Record, folder: Path, listener: socket.socket, children: list[Child]) -> int:
    """Play the run; return the exit status."""
    servers = [SessionServer(f"s-{number}", record) for number in range(SERVERS)]
    instances = {}
    for number, server in enumerate(servers):
        port = free_port()
        await server.open(port)
        instances[server.name] = instance(server.name, port, ZONES[number % 2])
    agent = Agent(record, instances)
    discovery = free_port()
    await agent.open(discovery)
    listen = f"127.0.0.1:{listener.getsockname()[1]}"
    known = agent.snapshot()  # the platform's copy of the list, from before the run

    def start(name: str) -> tuple[Child, int]:
        management = free_port()
        site = settings(balancers=2, rank=0, zones=ZONES, zone=0)
        path = folder / f"{name}.json"
        path.write_text(json.dumps(config("n0", listen, f"127.0.0.1:{discovery}", known, site)))
        env = {"LB_CONFIG": str(path), "LB_LISTEN_FD": str(LISTEN_FD), "LB_MANAGEMENT": f"127.0.0.1:{management}"}
        child = Child(name, RUN, env | {"TMPDIR": str(folder / "tmp")}, folder, record, fds=(LISTEN_FD,))
        children.append(child)
        return child, management

    (folder / "tmp").mkdir()
    old, old_management = start("old")
    if await wait_for_yes(old_management, record, 10.0) is None:
        could_not_run("the first process did not say yes")
    front = Front([listener.getsockname()[1]], record)
    clients = Clients(front, record, random.Random(7), life_s=(60.0, 200.0), view_share=0.0)
    tasks = [asyncio.create_task(front.run())]
    await asyncio.sleep(0.5)
    for _ in range(SESSIONS):
        clients.spawn()
        await asyncio.sleep(0.08)
    await asyncio.sleep(2.0)

    restarted = next(server for server in servers if server.name == RESTARTED)
    restarted.restart()
    await agent.change(RESTARTED, startedAtMs=int(time.time() * 1000))
    await asyncio.sleep(0.5)
    if not any(event.get("version") == agent.generation for event in old.events("endpoint_list_updated")):
        could_not_run("the first process did not log the change that it was told")
    told = record.write(f"the proxy has been told that {RESTARTED} has just started")

    outage_until = record.now() + OUTAGE_S
    if TROUBLE:
        await agent.go_silent(True)
    await asyncio.sleep(0.2)
    started = record.now()
    new, new_management = start("new")
    yes = await wait_for_yes(new_management, record, READY_S)
    if yes is None:
        record.write("the new process did not say yes within its time")
        yes = record.now()
    await asyncio.sleep(max(0.0, started + READY_S - record.now()))
    old.signal(signal.SIGTERM)
    await asyncio.sleep(KILL_S)
    if old.status is None:
        record.write("the old process had to be killed")
        old.end()
    await asyncio.sleep(max(0.0, outage_until - record.now()))
    if TROUBLE:
        await agent.go_silent(False)
    await asyncio.sleep(4.0)
    cut = [how for _, _, how in clients.ended if how.startswith("cut off")]
    for task in [*tasks, *clients.tasks]:
        task.cancel()

    sent = [at for at, _ in restarted.opened if at > restarted.cold.started]
    most = max((sum(1 for other in sent if at <= other <= at + 1.0) for at in sent), default=0)
    record.write(f"{RESTARTED} started at {restarted.cold.started:.3f}, which the proxy was told by {told:.3f}")
    record.write(f"the new process said yes at {yes:.3f}; what was told binds it by {yes + BINDS_S:.3f} at the latest")
    record.write(f"{len(sent)} requests were sent to {RESTARTED} since its start, at most {most} within a second")
    record.write(f"{RESTARTED} fell at {restarted.fallen_at}; connections cut off in the run: {len(cut)}")
    if new.status is not None or len(clients.moved) < SESSIONS / 2:
        could_not_run(f"status of the new process {new.status}, {len(clients.moved)} clients moved")
    is_broken = restarted.fallen_at is not None and restarted.fallen_at > yes + BINDS_S
    print(f"{RESTARTED} fell at {restarted.fallen_at}; the yes was at {yes:.3f}")
    return 1 if is_broken else 0


def main() -> int:
    """Run the case."""
    record = Record(HERE / "record.txt")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", free_port()))
    listener.listen(512)
    if listener.fileno() != LISTEN_FD:
        os.dup2(listener.fileno(), LISTEN_FD)
    os.set_inheritable(LISTEN_FD, True)
    children: list[Child] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return run(play(record, Path(folder), listener, children))
        except Exception:
            traceback.print_exc()
            return 2
        finally:
            for child in children:
                child.end()
                record.write(f"{child.name} ended with status {child.status}")


if __name__ == "__main__":
    sys.exit(main())
