"""Emulator of the platform's routers, callers and endpoints."""
