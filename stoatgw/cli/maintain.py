"""`stoatgw maintain`: a rolling maintenance seen and stopped, by the operators' file and what the engine holds."""

from __future__ import annotations

import asyncio
from collections import Counter
from datetime import UTC, datetime

import click
from msgspec.structs import replace

from stoatgw.config.errors import ConfigError
from stoatgw.config.maintenance import PROXY_PREFIX, MaintenancePlan
from stoatgw.config.membership import MembershipConfig
from stoatgw.config.operators import load_operator_config
from stoatgw.maintenance.keys import MaintenanceKeys, StoreSnapshot, read_store_snapshot
from stoatgw.maintenance.rollout_state import RolloutStateError, StepState, encode
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationClient, make_client

ABORT_TRIES = 5  # each is one comparison with the last ledger, which a proxy may change in between

CONFIG = click.option(
    "--config",
    "path",
    envvar="STOATGW_CONFIG",
    required=True,
    type=click.Path(),
    help="The operators' own file; STOATGW_CONFIG by default.",
)


@click.group()
def maintain() -> None:
    """See and stop a rolling maintenance that the proxies settle among themselves."""


@maintain.command()
@CONFIG
def plan(path: str) -> int:
    """Check the plan and print what it will do; asks no engine."""
    _, asked = _read(path)
    servers = [name for name in asked.machines if not name.startswith(PROXY_PREFIX)]
    click.echo(
        f"{asked.name} ({asked.fingerprint}): {len(servers)} session servers, "
        f"{len(asked.machines) - len(servers)} proxies, done when {asked.completion}"
    )
    click.echo(
        f"at once: {asked.max_servers_out} session servers, {asked.max_zone_fraction:g} of each zone rounded down, "
        f"{asked.max_proxies_out} proxies; each at most {asked.step_timeout_s:g} s"
    )
    for place, name in enumerate(asked.machines, 1):
        click.echo(f"{place:4}  {name}")
    return 0


@maintain.command()
@CONFIG
def status(path: str) -> int:
    """What is out, done and left, and which proxy leads. Status 1 where a machine was late."""
    membership, asked = _read(path)
    look = asyncio.run(_look(make_client(membership), MaintenanceKeys(membership.scope, asked.name)))
    names = ", ".join(sorted(member.name for member in look.members.values())) or "none"
    token = f" (token {look.fencing_token})" if look.fencing_token else ""
    click.echo(f"leads: {look.leader or 'nobody'}{token}; proxies at the engine: {names}")
    ledger = look.rollout
    if ledger is None:
        click.echo("not begun")
        return 0
    if ledger.plan_fingerprint != asked.fingerprint:
        click.echo(
            f"the plan under way is another of this name: {ledger.plan_fingerprint}, the file has {asked.fingerprint}"
        )
    count = Counter(step.state for step in ledger.steps.values())
    told = ", ".join(f"{count[state]} {state.value}" for state in StepState if count[state])
    left = sum(name not in ledger.steps for name in asked.machines)
    ended = "aborted; " if ledger.is_aborted else "finished; " if ledger.is_finished else ""
    click.echo(f"{ended}{told or 'none out yet'}, {left} left of {len(asked.machines)}")
    for name, step in ledger.steps.items():
        at = datetime.fromtimestamp(step.started_at_ms / 1000, UTC).strftime("%H:%M:%S")
        how = (
            " may be worked on"
            if step.is_evacuated
            else " all proxies have it out"
            if step.is_notified
            else " being told"
        )
        click.echo(f"  {name:24} {step.state.value:9} since {at} UTC{how if step.state is StepState.OUT else ''}")
    return 1 if count[StepState.LATE] else 0


@maintain.command()
@CONFIG
def abort(path: str) -> int:
    """Begin no further step and bring back what is out. Another plan name begins anew."""
    membership, asked = _read(path)
    click.echo(asyncio.run(_abort(make_client(membership), MaintenanceKeys(membership.scope, asked.name))))
    return 0


def _read(path: str) -> tuple[MembershipConfig, MaintenancePlan]:
    """Raises ConfigError."""
    operators = load_operator_config(path)
    if operators.membership is None or operators.maintenance is None:
        raise ConfigError("missing", field="maintenance", file=path)
    return operators.membership, operators.maintenance


async def _look(engine: CoordinationClient, keys: MaintenanceKeys) -> StoreSnapshot:
    found = await engine.call(etcd_api.RANGE, etcd_api.under(keys.prefix))
    if isinstance(found, CallFailure):
        raise click.ClickException(f"the engine does not answer: {found.reason}")
    try:
        return read_store_snapshot(keys, etcd_api.read_range(found))
    except (etcd_api.ResponseError, RolloutStateError) as error:
        raise click.ClickException(f"the engine's answer cannot be read: {error}") from None


async def _abort(engine: CoordinationClient, keys: MaintenanceKeys) -> str:
    for _ in range(ABORT_TRIES):
        look = await _look(engine, keys)
        if look.rollout is None:
            raise click.ClickException("nothing to abort: it has not begun")
        if look.rollout.is_aborted or look.rollout.is_finished:
            return "it had ended before"
        write = etcd_api.put(keys.rollout, encode(replace(look.rollout, is_aborted=True)))
        found = await engine.call(
            etcd_api.TXN, etcd_api.txn([etcd_api.changed_at(keys.rollout, look.rollout_revision)], [write])
        )
        if not isinstance(found, CallFailure) and etcd_api.read_txn(found).succeeded:
            return f"aborted; {len(look.rollout.machines_out())} machines are brought back by the proxy that leads"
    raise click.ClickException("not aborted: the engine did not take it; try again")
