"""The real proxy as a process: builds its parts, starts their tasks, handles signals, and shuts it down.

`core` builds what every proxy has; `optional_parts` adds what is configured, each as a `ServicePart`, and imports
nothing else. `proxy.serve` gives the order in which they start, `shutdown` the order in which they end. What the
parts do is left to their own packages.
"""

from __future__ import annotations

from stoatgw.service.process import main, start
from stoatgw.service.proxy import serve

__all__ = ["main", "serve", "start"]
