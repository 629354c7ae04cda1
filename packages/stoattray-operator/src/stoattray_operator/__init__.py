"""Operators' command line and API client of stoattray."""
