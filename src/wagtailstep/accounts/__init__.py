"""Client accounts: who may send requests, and how many.

Decides which account a request belongs to by its key, and whether the account's quota
permits one more request. It reads the accounts of the table and the members on the
blackboard. Design note: ``docs/design/accounts.md``; tests:
``features/account_keys.feature`` and ``features/account_quotas.feature``.
"""
