"""stoatgw: a proxy that places long-lived exercise-session connections on session servers."""
