"""Typed requests and replies over authenticated websocket sessions."""
