"""Tests of chivedoor; the packages mirror the source tree."""
