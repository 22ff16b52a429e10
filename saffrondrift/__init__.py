"""saffrondrift: the decisions of a balancer for long-lived connections, as a library."""

from saffrondrift.balancer import Balancer
from saffrondrift.interface import Settings, SettingsError

__all__ = ["Balancer", "Settings", "SettingsError"]
