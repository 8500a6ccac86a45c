"""The client account of a request in its headers: read, removed and passed on."""

import attrs
import msgspec

from wagtailstep.accounts.directory import (
    AccountDirectory,
    ClientAccount,
    UnreadableAccount,
)
from wagtailstep.exceptions import UnknownKeyError, UnreadableAccountError
from wagtailstep.models.exchange import IncomingRequest
from wagtailstep.models.headers import (
    ACCOUNT,
    ACCOUNT_PRIORITY,
    CREDENTIAL,
    RELAYED,
    TENANT,
    Headers,
    decode_text,
    encode_text,
    find_header,
    read_int_header,
    remove_headers,
)
from wagtailstep.models.host_routes import HostRoute
from wagtailstep.models.request import RequestContext

# What a caller says in these is ignored if the table has client accounts.
UNTRUSTED_HEADERS = frozenset({ACCOUNT, RELAYED})
# Not even another daemon's entry gets these as the caller sent them.
CALLER_ONLY_HEADERS = frozenset({ACCOUNT_PRIORITY, CREDENTIAL, TENANT})


def identify_account(
    incoming: IncomingRequest,
    directory: AccountDirectory | None,
    route: HostRoute | None,
) -> ClientAccount | None:
    """Return the client account of a request, or ``None`` if it needs none.

    :param directory: the accounts of the table, if it has a list of them.
    :param route: the route of the table that the request matches, if any.
    :raises UnknownKeyError: if it needs a key and has no known one.
    :raises UnreadableAccountError: if the account's row could not be read.
    """
    if directory is None or (route is not None and route.public):
        return None
    if incoming.from_daemon:
        return read_passed_account(incoming, directory)
    return find_account(incoming, directory)


def find_account(
    incoming: IncomingRequest, directory: AccountDirectory
) -> ClientAccount:
    """Return the client account that a caller's key belongs to.

    :raises UnknownKeyError: if there is no key, an unknown one, or several.
    :raises UnreadableAccountError: if the account's row could not be read.
    """
    keys = [value for name, value in incoming.headers if name == CREDENTIAL]
    account = directory.find(decode_text(keys[0])) if len(keys) == 1 else None
    if account is None:
        raise UnknownKeyError(
            f"header {CREDENTIAL} has to be the key of a client account"
        )
    if isinstance(account, UnreadableAccount):
        raise UnreadableAccountError(
            "the client account of this key is written for a newer release of this "
            "daemon; upgrade it or retry at another daemon"
        )
    return account


def read_passed_account(
    incoming: IncomingRequest, directory: AccountDirectory
) -> ClientAccount | None:
    """Return the client account of a request that another daemon relayed.

    That daemon has accepted the request, perhaps under another version of the table.
    """
    value = find_header(incoming.headers, TENANT)
    if value is None:
        return None
    name = decode_text(value)
    known = directory.by_name.get(name) or ClientAccount(name)
    priority = read_int_header(incoming.headers, ACCOUNT_PRIORITY)
    return msgspec.structs.replace(known, priority=priority)


def remove_untrusted_headers(
    incoming: IncomingRequest, directory: AccountDirectory | None
) -> IncomingRequest:
    """Return a request without what only daemons may say about its account."""
    if directory is None:
        return incoming
    # A daemon without a list of accounts relays what its caller said in this header.
    names = frozenset({ACCOUNT}) if incoming.from_daemon else UNTRUSTED_HEADERS
    kept = remove_headers(incoming.headers, names)
    return attrs.evolve(incoming, headers=kept)


def set_account(
    request: RequestContext, account: ClientAccount | None
) -> RequestContext:
    """Return a request with its client account, if it has one."""
    if account is None:
        return request
    return attrs.evolve(
        request,
        account=account.name,
        account_priority=account.priority,
        client_account=account,
    )


def build_account_headers(request: RequestContext) -> Headers:
    """Return the headers that tell a gate the client account of a request."""
    account = request.client_account
    if account is None:
        return ()
    headers: Headers = ((ACCOUNT, encode_text(account.name)),)
    if account.priority is not None:
        headers += ((ACCOUNT_PRIORITY, str(account.priority)),)
    return headers


def replace_account_headers(headers: Headers, request: RequestContext) -> Headers:
    """Return a caller's headers for another daemon's entry.

    They tell the account in place of the key. ``ACCOUNT`` alone would not do: without
    accounts in the table, callers may say anything in it.
    """
    kept = remove_headers(headers, CALLER_ONLY_HEADERS)
    account = request.client_account
    if account is None:
        return kept
    kept = remove_headers(kept, frozenset({ACCOUNT}))
    return (
        *kept,
        *build_account_headers(request),
        (TENANT, encode_text(account.name)),
    )
