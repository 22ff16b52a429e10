"""Connects the controller and the health checker to the backends and to discovery."""

from __future__ import annotations

from collections.abc import Callable

from stoatgw.backends.backend import BackendRegistry
from stoatgw.backends.health_check import HealthChecker
from stoatgw.controller.messages import Message, MessageQueue
from stoatgw.discovery.client import DiscoveryClient


class ServiceGateway:
    """The controller's access to the backends and to discovery; implements `BackendGateway`."""

    def __init__(self, backends: BackendRegistry, health_checker: HealthChecker, discovery: DiscoveryClient) -> None:
        """Create a gateway whose health checks this proxy runs itself."""
        self._backends = backends
        self._health_checker = health_checker
        self._discovery = discovery
        self._request_health_check: Callable[[str], None] = self.check_health_now

    def redirect_health_checks(self, request: Callable[[str], None]) -> None:
        """Pass the health checks that the decisions request to another component from now on."""
        self._request_health_check = request

    def check_health(self, server: str) -> None:
        """Request a health check of a session server."""
        self._request_health_check(server)

    def check_health_now(self, server: str) -> None:
        """Start a health check from this proxy; a server that is no longer in the endpoint list is ignored."""
        backend = self._backends.get(server)
        if backend is not None:
            self._health_checker.check(backend)

    def close_idle(self, server: str) -> None:
        """Close the connection kept open for the health checks of a session server."""
        self._health_checker.close(server)

    def fetch_endpoints(self) -> None:
        """Publish the complete endpoint list again."""
        self._discovery.publisher.publish_all()

    def endpoint_names(self) -> list[str]:
        """Return the names of the session servers in the endpoint list."""
        return [endpoint.name for endpoint in self._discovery.publisher.endpoints()]


class HealthCheckResults:
    """Forwards the health checker's results to the controller, or to a component that processes them first."""

    def __init__(self, queue: MessageQueue) -> None:
        """Create a forwarder that posts to the controller's queue."""
        self._receiver = queue

    def post(self, message: Message) -> None:
        """Post a result to the current receiver."""
        self._receiver.post(message)

    def redirect(self, receiver: MessageQueue) -> None:
        """Post to another receiver from now on."""
        self._receiver = receiver
