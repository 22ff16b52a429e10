"""`stoatgw maintain`: checks a maintenance plan, and shows or aborts its rollout at the coordination engine."""

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
from stoatgw.maintenance.rollout_state import RolloutState, RolloutStateError, RolloutStep, StepState, encode
from stoatgw.membership import etcd_api
from stoatgw.membership.client import CallFailure, CoordinationClient, make_client

MAX_ABORT_ATTEMPTS = 5  # an attempt fails if a proxy changes the state between its read and its write

CONFIG = click.option(
    "--config",
    "path",
    envvar="STOATGW_CONFIG",
    required=True,
    type=click.Path(),
    help="The operators' file; STOATGW_CONFIG by default.",
)


@click.group()
def maintain() -> None:
    """Show or abort a rolling maintenance that the proxies coordinate."""


@maintain.command()
@CONFIG
def plan(path: str) -> int:
    """Validate the plan and print its machines; does not call the engine."""
    maintenance_plan = _load_config(path)[1]
    machines = maintenance_plan.machines
    servers = [name for name in machines if not name.startswith(PROXY_PREFIX)]
    click.echo(
        f"{maintenance_plan.name} ({maintenance_plan.fingerprint}): {len(servers)} session servers, "
        f"{len(machines) - len(servers)} proxies, done when {maintenance_plan.completion}"
    )
    click.echo(
        f"at once: {maintenance_plan.max_unavailable_servers} session servers, "
        f"{maintenance_plan.max_zone_fraction:g} of each zone rounded down, "
        f"{maintenance_plan.max_unavailable_proxies} proxies; each at most {maintenance_plan.step_timeout_s:g} s"
    )
    for number, name in enumerate(machines, 1):
        click.echo(f"{number:4}  {name}")
    return 0


@maintain.command()
@CONFIG
def status(path: str) -> int:
    """Show the leader, the steps and how many machines remain. Status 1 if a machine was late."""
    membership, maintenance_plan = _load_config(path)
    keys = MaintenanceKeys(membership.scope, maintenance_plan.name)
    snapshot = asyncio.run(_read_snapshot(make_client(membership), keys))
    names = ", ".join(sorted(member.name for member in snapshot.members.values())) or "none"
    token = f" (token {snapshot.fencing_token})" if snapshot.fencing_token else ""
    click.echo(f"leads: {snapshot.leader or 'nobody'}{token}; proxies at the engine: {names}")
    if snapshot.rollout is None:
        click.echo("not begun")
        return 0
    return _print_rollout(snapshot.rollout, maintenance_plan)


@maintain.command()
@CONFIG
def abort(path: str) -> int:
    """Start no further step and return all machines to service. A plan with another name starts anew."""
    membership, maintenance_plan = _load_config(path)
    keys = MaintenanceKeys(membership.scope, maintenance_plan.name)
    click.echo(asyncio.run(_abort(make_client(membership), keys)))
    return 0


def _print_rollout(rollout: RolloutState, maintenance_plan: MaintenancePlan) -> int:
    """Print a rollout's progress and return the command's status."""
    fingerprint = maintenance_plan.fingerprint
    if rollout.plan_fingerprint != fingerprint:
        click.echo(
            f"the plan under way is another of this name: {rollout.plan_fingerprint}, the file has {fingerprint}"
        )
    counts = Counter(step.state for step in rollout.steps.values())
    progress = ", ".join(f"{counts[state]} {state.value}" for state in StepState if counts[state])
    remaining = sum(name not in rollout.steps for name in maintenance_plan.machines)
    ended = ""
    if rollout.is_aborted:
        ended = "aborted; "
    elif rollout.is_finished:
        ended = "finished; "
    click.echo(f"{ended}{progress or 'none out yet'}, {remaining} left of {len(maintenance_plan.machines)}")
    for name, step in rollout.steps.items():
        since = datetime.fromtimestamp(step.started_at_ms / 1000, UTC).strftime("%H:%M:%S")
        click.echo(f"  {name:24} {step.state.value:9} since {since} UTC{_describe_progress(step)}")
    return 1 if counts[StepState.LATE] else 0


def _describe_progress(step: RolloutStep) -> str:
    """Describe the progress of a step that has not ended."""
    if step.state is not StepState.OUT_OF_SERVICE:
        return ""
    if step.is_evacuated:
        return " may be worked on"
    return " all proxies have it out" if step.is_notified else " being told"


def _load_config(path: str) -> tuple[MembershipConfig, MaintenancePlan]:
    """Load the operators' membership settings and plan.

    Raises:
        ConfigError: The file is invalid, or has no plan.
    """
    operators = load_operator_config(path)
    if operators.membership is None or operators.maintenance is None:
        raise ConfigError("missing", field="maintenance", file=path)
    return operators.membership, operators.maintenance


async def _read_snapshot(client: CoordinationClient, keys: MaintenanceKeys) -> StoreSnapshot:
    response = await client.call(etcd_api.RANGE_PATH, etcd_api.prefix_range(keys.prefix))
    if isinstance(response, CallFailure):
        raise click.ClickException(f"the engine does not answer: {response.reason}")
    try:
        return read_store_snapshot(keys, etcd_api.parse_range(response))
    except (etcd_api.ResponseError, RolloutStateError) as error:
        raise click.ClickException(f"the engine's answer cannot be read: {error}") from None


async def _abort(client: CoordinationClient, keys: MaintenanceKeys) -> str:
    """Mark the rollout as aborted, provided that it is unchanged since it was read; return the text to print."""
    for _ in range(MAX_ABORT_ATTEMPTS):
        snapshot = await _read_snapshot(client, keys)
        rollout = snapshot.rollout
        if rollout is None:
            raise click.ClickException("nothing to abort: it has not begun")
        if rollout.is_aborted or rollout.is_finished:
            return "it had ended before"
        request = etcd_api.transaction(
            [etcd_api.compare_mod_revision(keys.rollout, snapshot.rollout_revision)],
            [etcd_api.put_operation(keys.rollout, encode(replace(rollout, is_aborted=True)))],
        )
        response = await client.call(etcd_api.TRANSACTION_PATH, request)
        if not isinstance(response, CallFailure) and etcd_api.parse_transaction(response).succeeded:
            return (
                f"aborted; {len(rollout.machines_out_of_service())} machines are brought back by the proxy that leads"
            )
    raise click.ClickException("not aborted: the engine did not take it; try again")
