"""stoatgw: a proxy that places long-lived exercise-session connections on session servers."""

__version__ = "0.2.0"
