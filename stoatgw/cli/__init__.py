"""The command line: what a user types, into calls of the parts below. Each command imports its own parts when it
runs, so that `stoatgw run` never loads the lab. What cannot be used ends in one line and status 2."""
