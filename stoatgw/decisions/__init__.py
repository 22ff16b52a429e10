"""The decisions of the proxy: each event is answered with a list of actions.

The package contains the policy (the files listed in deploy/balancer.toml), its interface, and in `state` the data that
the policy reads. It is pure: it does no I/O, reads no clock and draws random numbers only from the seeded generator, so
the same events always produce the same actions. The controller carries out the actions, and ensures that every request
gets exactly one final answer even after a fault.
"""

from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import Settings, SettingsError

__all__ = ["Balancer", "Settings", "SettingsError"]
