"""The proxy process: builds its components, starts their tasks, handles signals, and shuts the proxy down.

`core` builds what every proxy has. `optional_components` adds what is configured, each as a `ServiceComponent`, and
imports nothing that is not configured. `proxy.serve` defines the start-up order, `shutdown` the shutdown order. What
the components do is implemented in their own packages.
"""

from __future__ import annotations

from stoatgw.service.process import main, start
from stoatgw.service.proxy import serve

__all__ = ["main", "serve", "start"]
