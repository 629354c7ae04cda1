"""Cookie placement: packets carry a cookie for their backend server.

Balancers therefore share no flow state.
"""
