"""The operators' command line of stoattray."""
