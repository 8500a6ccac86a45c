"""Decisions where room is scarce: who waits, who goes next and who is refused.

It reads the retry budget and the queues of the gate, and writes nothing to the
blackboard. Design note: ``docs/design/scarce-room.md``; tests:
``features/declined_requests.feature`` and ``features/fair_queue.feature``.
"""
