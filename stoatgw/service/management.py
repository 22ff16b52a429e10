"""The management address and the operators' suspensions as an optional component of the proxy."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from stoatgw.config.deployment import Address
from stoatgw.config.errors import ConfigError
from stoatgw.management.listener import ManagementListener
from stoatgw.management.operations import Operations
from stoatgw.service.component import BackgroundTask, ServiceComponent
from stoatgw.service.core import ProxyCore
from stoatgw.service.periodic import run_periodically
from stoatgw.suspension.applier import SuspensionApplier
from stoatgw.suspension.service import POLL_INTERVAL_S, SuspensionService


class ManagementComponent(ServiceComponent):
    """Answers the operators' requests, and preserves their suspensions across a restart."""

    def __init__(self, core: ProxyCore, address: Address, accepts_connections: Callable[[], bool]) -> None:
        """Prepare the component.

        Args:
            core: The proxy's core.
            address: The management address.
            accepts_connections: Returns whether this process accepts client connections now.
        """
        context = core.context
        publisher = core.discovery.publisher
        applier = SuspensionApplier(core.overrides, publisher, context.controller, context.clock, context.log)
        self._address = address
        self._log = context.log
        self._suspensions = SuspensionService(core.state_folder, applier, publisher, context.clock, context.log)
        operations = Operations(context, publisher, self._suspensions, accepts_connections)
        self._listener = ManagementListener(operations, context.log, context.counters)

    def restore(self) -> None:
        """Restore the suspensions, so that no endpoint list puts a suspended server into use."""
        self._suspensions.start()

    def attach(self) -> None:
        """Listen on the management address.

        Raises:
            ConfigError: The address cannot be bound.
        """
        try:
            self._listener.bind(self._address)
        except OSError as error:
            raise ConfigError(f"cannot listen on this address: {error.strerror}", field="management") from error

    def background_tasks(self) -> Sequence[BackgroundTask]:
        """Return the tasks of the management listener and of the poll for changes by a sibling process."""
        poll = partial(run_periodically, POLL_INTERVAL_S, self._suspensions.poll, self._log)
        return (self._listener.run, poll)
