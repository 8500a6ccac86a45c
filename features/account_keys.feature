Feature: Requests need the key of a client account if the table lists accounts

  Background:
    Given a table with the client accounts
      | name  | api-keys        | priority | rate-per-s | burst |
      | hall  | key-h1 key-h2   | 1        | 5.5        | 11    |
      | union | key-u           |          |            |       |
      | Ünal  | key-ü           | 0        | 0          | 0     |
      | empty |                 | 0        | 0          | 0     |

  Scenario: A request is served or refused by its key, and the server gets its account
    Then requests are answered
      | path      | key      | status | reason      | account | priority |
      | /lookup/1 | key-h1   | 200    |             | hall    | 1        |
      | /lookup/1 | key-h2   | 200    |             | hall    | 1        |
      | /sign/1   | key-u    | 200    |             | union   |          |
      | /sign/1   | key-ü    | 200    |             | Ünal    | 0        |
      | /lookup/1 |          | 401    | unknown-key |         |          |
      | /lookup/1 | key-h    | 401    | unknown-key |         |          |
      | /lookup/1 | key-h1x  | 401    | unknown-key |         |          |
      | /lookup/1 | KEY-H1   | 401    | unknown-key |         |          |
      | /lookup/1 | hall     | 401    | unknown-key |         |          |
      | /open/1   |          | 200    |             |         |          |
      | /open/1   | key-h1   | 200    |             |         |          |
      | /open/1   | wrong    | 200    |             |         |          |
      | /none/1   | key-h1   | 404    | no-route    |         |          |
    And 5 requests were counted as "unknown-key"
    And the status of each daemon shows 4 client accounts

  Scenario Outline: What a caller says of its account is not believed
    Then requests with the header <header> are answered
      | path      | key    | status | reason      | account | priority |
      | /lookup/1 | key-h1 | 200    |             | hall    | 1        |
      | /lookup/1 | key-u  | 200    |             | union   |          |
      | /lookup/1 |        | 401    | unknown-key |         |          |
      | /open/1   |        | 200    |             |         |          |

    Examples:
      | header                            |
      | wagtailstep-tenant: forged        |
      | wagtailstep-account: forged       |
      | wagtailstep-account-priority: 0   |
      | wagtailstep-relayed: ?1           |

  Scenario: A request with two keys is refused, since servers could differ in the choice
    Then requests with the header wagtailstep-credential: key-u are answered
      | path      | key    | status | reason      | account | priority |
      | /lookup/1 | key-h1 | 401    | unknown-key |         |          |

  Scenario: A request that names its service needs a key as well
    Then requests with the header wagtailstep-service: contracts are answered
      | path     | key    | status | reason      | account | priority |
      | /other/1 | key-h1 | 200    |             | hall    | 1        |
      | /other/1 |        | 401    | unknown-key |         |          |
      | /open/1  |        | 401    | unknown-key |         |          |

  Scenario: An empty key in the table admits no request without a key
    Given the keys of account "empty" are [""]
    Then requests are answered
      | path      | key | status | reason      | account | priority |
      | /lookup/1 |     | 401    | unknown-key |         |          |

  Scenario: An empty list of accounts closes all routes but the public ones
    Given the table has an empty list of client accounts
    Then requests are answered
      | path      | key    | status | reason      | account | priority |
      | /lookup/1 | key-h1 | 401    | unknown-key |         |          |
      | /open/1   |        | 200    |             |         |          |

  Scenario: Without a list nothing changes, but a key still goes no further
    Given the table has no list of client accounts
    Then requests with the header wagtailstep-account: own are answered
      | path      | key    | status | reason      | account | priority |
      | /lookup/1 | key-h1 | 200    |             |         |          |
      | /lookup/1 |        | 200    |             |         |          |

  Scenario: A daemon without a table refuses for a while, not for good
    Given no table has been published
    Then requests are answered
      | path      | key    | status | reason    | account | priority |
      | /lookup/1 | key-h1 | 503    | not-ready |         |          |
      | /lookup/1 |        | 503    | not-ready |         |          |
      | /open/1   |        | 503    | not-ready |         |          |

  Scenario Outline: A row that can't be read costs only its own account
    Given the client account "union" is the row <row>
    Then requests are answered
      | path      | key    | status   | reason   | account | priority |
      | /lookup/1 | key-u  | <status> | <reason> |         |          |
      | /lookup/1 | key-h1 | 200      |          | hall    | 1        |

    Examples:
      | row                                    | status | reason             |
      | ["union",["key-u"],"high",null,null]   | 503    | unreadable-account |
      | ["union",["key-u"],-1,null,null]       | 503    | unreadable-account |
      | ["union",["key-u"],1.5,null,null]      | 503    | unreadable-account |
      | ["union",["key-u"],1,"fast",null]      | 503    | unreadable-account |
      | ["union",["key-u"],1,null,-5]          | 503    | unreadable-account |
      | ["union",["key-u",7],1,null,"x"]       | 503    | unreadable-account |
      | [null,["key-u"],1,null,null]           | 503    | unreadable-account |
      | ["a\r\nb",["key-u"],1,null,null]       | 503    | unreadable-account |
      | ["union","key-u",1,null,null]          | 401    | unknown-key        |
      | {"name":"union"}                       | 401    | unknown-key        |
      | 7                                      | 401    | unknown-key        |

  Scenario Outline: Each request on a connection is judged by the table at its arrival
    When a caller sends requests with "key-u" <manner>, and its key is revoked during the first
    Then the responses on the connection have the status 200, 401, 200 and 401

    Examples:
      | manner                    |
      | one after the other       |
      | without waiting for any   |

  Scenario: A request that waits for its retry is served after its key was revoked
    When "key-u" is revoked during the first attempts of requests that one of three servers loses
    Then all of them are answered with status 200, some by a later attempt

  Scenario: A relayed request is served without its key
    When a request with a ticket and "key-h1" is sent through another daemon
    Then it is answered with status 200, and the servers got account "hall" with priority 1
    And the same request without a key is refused, whatever a daemon would have said
    And no daemon sent a key

  Scenario: Keys appear nowhere, also when requests fail
    When requests with planted keys fail in many ways
    Then at least 12 kinds of answers and log lines were recorded
    And no planted key is found in logs, events, metrics, answers or messages

  Scenario: The search finds a key if one is logged
    Given daemons that quote malformed headers
    When requests with planted keys fail in many ways
    Then a planted key is found

  Scenario: A table with many accounts comes into force in steps, complete
    When tables 5, 6 and 7 with 2500 accounts are published within one step
    Then table 5 and table 7 came into force, each after 7 steps
    And each account of table 7 is found by its key
    And no other daemon was told meanwhile that the newest version is in force

  Scenario: A large table is compressed before it is asked for, not when it is sent
    When table 5 with 6000 accounts is in force and another daemon requests it
    Then it is sent compressed already, and the other daemon can read it

  Scenario: The control channel takes the table of the design scale
    Then a table with 47000 accounts fits into a control message

  Scenario: Equal keys have different digests in different processes
    Then the digest of a key differs between two processes
