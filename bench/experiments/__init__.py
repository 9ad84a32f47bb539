"""Experiments on whole deployments of processes, judged by stated goals."""
