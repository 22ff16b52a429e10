"""Stand-ins of the platform, session servers and clients, for the review's cases. Standard library only."""
