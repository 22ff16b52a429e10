"""The decisions of stoatgw: events go in, actions come out."""

from stoatgw.decisions.balancer import Balancer
from stoatgw.decisions.interface import Settings, SettingsError

__all__ = ["Balancer", "Settings", "SettingsError"]
