"""Session servers taken out by hand.

`overlay` lays the bans over what discovery says, without IO; `store` keeps them in one file that all processes of a
proxy share, and that outlives each of them. What leaves and comes back reaches the module as news of the list.
"""
