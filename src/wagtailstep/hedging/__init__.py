"""Second copies of slow idempotent requests, within a limit that operators set.

Decides when a copy is sent and whether the limit permits it. It reads the retry budget
and the standing of targets on the blackboard. Design note: ``docs/design/hedging.md``;
tests: ``features/hedging.feature``.
"""
