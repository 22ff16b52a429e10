"""The decisions of the proxy: events go in, actions come out.

It holds the policy (the files that deploy/balancer.toml lists), its interface, and in `state` what the policy reads.
It promises to be pure: no IO, no clock, no random draws but those of the seed, and the same actions for the same
events. Carrying out the actions, and giving every request one final answer also on a fault, is left to the controller.
"""

from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import Settings, SettingsError

__all__ = ["Balancer", "Settings", "SettingsError"]
