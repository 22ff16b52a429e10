"""The process that runs the proxy: its configuration, resource limits and exit status."""

from __future__ import annotations

import gc
import os
import resource
import signal
from typing import TYPE_CHECKING

import uvloop

from stoatgw.config.deployment import Deployment, load_deployment
from stoatgw.config.errors import ConfigError, report_config_error
from stoatgw.service.proxy import serve

if TYPE_CHECKING:
    from stoatgw.config.operators import OperatorConfig


def main() -> int:
    """Run the proxy that the environment configures; return the exit status."""
    # A SIGHUP received during start-up would terminate the process, so it stays blocked until its handler is installed.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        path = _config_path()
        start(load_deployment(path), path, _load_operator_config())
    except ConfigError as error:
        return report_config_error(error)
    return 0


def start(deployment: Deployment, path: str, operators: OperatorConfig | None = None) -> None:
    """Run the proxy on an event loop of its own until it is stopped.

    Args:
        deployment: The platform's configuration.
        path: The file it was loaded from, which is read again on SIGHUP.
        operators: The operators' configuration, if there is one.

    Raises:
        ConfigError: The proxy cannot run as configured.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_descriptors = deployment.max_sockets
    if hard_limit != resource.RLIM_INFINITY:
        max_descriptors = min(max_descriptors, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard_limit))
    gc.freeze()
    uvloop.run(serve(deployment, path, operators))


def _config_path() -> str:
    path = os.environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("not set", file="LB_CONFIG")
    return path


def _load_operator_config() -> OperatorConfig | None:
    """Load the operators' file if STOATGW_CONFIG names one; its library is imported only then."""
    path = os.environ.get("STOATGW_CONFIG")
    if not path:
        return None
    from stoatgw.config.operators import load_operator_config

    return load_operator_config(path)
