"""Emulator of the users' platform: routers, callers and endpoints."""
