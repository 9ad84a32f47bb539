"""Packet parsing, rewriting, refusals, encapsulation and socket I/O."""
