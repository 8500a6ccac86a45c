Feature: The adapter translates the platform's store, configuration and heartbeats

  Scenario Outline: The daemons that follow the table together make few calls
    Given the platform's store with version 4
    When one of the followers in a fleet of <daemons> daemons in <zones> zones waits 1500 s
    Then all of them make at most <calls> calls a second

    Examples:
      | daemons | zones | calls |
      | 27      | 3     | 4.5   |
      | 88      | 3     | 5     |
      | 1800    | 14    | 100   |

  Scenario: A change is found in time although an outage lost the waiting reads
    Given the platform's store with version 7
    When a daemon follows the table through 5 s of "lost reads" and version 9 is published 3 s later
    Then it received the versions 7 9
    And version 9 was received within 1500 ms

  # Guards against daemons that go on calling the address that they were started with.
  Scenario Outline: A store whose address changes is called at the new one
    Given the platform's store with version 7
    When a daemon follows the table, its settings name another address of the store, and the old one <ends>
    Then it received the versions 7 9
    And version 9 was received within 500 ms

    Examples:
      | ends            |
      | goes silent     |
      | refuses calls   |
      | goes on as well |

  Scenario: A configuration becomes a table
    Given the platform's example configuration
    Then its version is 7
    And it allows request bodies of 67108864 bytes
    And callers have 10000 ms for a head and 90000 ms between requests
    And route "r-hh2b9wu" is "unsafe" with timeout 3000 ms, aim 800 ms and 2 attempts
    And route "r-zji9n73" is split "huvo11a*90 wuno96b*10"

  Scenario Outline: A time limit that a configuration leaves out has its default
    Given the platform's example configuration without <left out>
    Then callers have <head> ms for a head and <idle> ms between requests

    Examples:
      | left out                   | head  | idle  |
      | ,"header-timeout":"10s"    | 75000 | 90000 |
      | ,"idle-timeout":"90000ms"  | 10000 | 75000 |

  Scenario Outline: An invalid configuration is refused
    Given the platform's example configuration with <old> in place of <new>
    Then it can't be read

    Examples:
      | new          | old               |
      | "r7"         | "seven"           |
      | "r7"         | 7                 |
      | "routes"     | "roads"           |
      | "10s"        | "10"              |
      | "10s"        | 10                |
      | "10s"        | "0s"              |
      | "10s"        | "0.0001ms"        |
      | "10s"        | "-1s"             |
      | "90000ms"    | "soon"            |
      | "90000ms"    | "0ms"             |
      | "90000ms"    | "1e9s"            |

  Scenario Outline: One row from a newer release costs only its own requests
    Given the platform's example configuration with <old> in place of <new>
    Then it is in force, and path "/lohu930/1" selects route "r-zji9n73"
    And requests of path "/pufi791/1" are rejected as not run with status 503
    And its status counts 1 unreadable route

    Examples:
      | new          | old               |
      | "unsafe"     | 7                 |
      | "3000ms"     | "soon"            |
      | "3000ms"     | 3000              |
      | "3000ms"     | "99999999999999s" |
      | ,1,"huvo11a" | ,1,null           |
      | ,1,"huvo11a" | ,"top","huvo11a"  |

  Scenario: A route of an unknown kind is sent once and never repeated
    Given the platform's example configuration with "odd" in place of "unsafe"
    Then route "r-hh2b9wu" has the kind "unknown", is not idempotent and is sent to at most 1

  Scenario: A download is repeated like any idempotent request
    Given the platform's example configuration with "download" in place of "unsafe"
    Then route "r-hh2b9wu" has the kind "download", is idempotent and is sent to at most 2

  Scenario: Fields that this release does not know are ignored
    Given the platform's example configuration with "new":{"x":[1]},"limits" in place of "limits"
    Then it is in force, and path "/lohu930/1" selects route "r-zji9n73"

  Scenario: Arbitrary bytes from other writers are refused without a crash
    Then each of 300 random configurations is either read or refused
    And each of 300 random heartbeats is either read or refused

  Scenario: The newest table is read, then each change at once
    Given the platform's store with version 7
    When a daemon follows the table and version 9 is published after 1 s
    Then it received the versions 7 9
    And version 9 was received within 50 ms
    And the store was called 5 times

  Scenario: Changes are found although the store has lost their history
    Given the platform's store with version 7
    When a daemon follows the table and the history of version 9 is lost after 2 s
    Then it received the versions 7 9

  Scenario Outline: A daemon applies a new version soon after the store recovers
    Given the platform's store with version 7
    When a daemon follows the table through 5 s of "<fault>" and version 9 is published meanwhile
    Then it received the versions 7 9
    And version 9 was received within <limit_ms> ms after the fault

    Examples:
      | fault   | limit_ms |
      | busy    | 3000     |
      | silent  | 12000    |
      | garbled | 3000     |

  Scenario Outline: A table that is published after the store lost recent writes is found
    Given the platform's store with version 7
    When a daemon follows the table, the store loses version 9 in <fault> and gets <written> again
    Then it received the versions <received>
    And the last version was received within 3000 ms
    And it learned of 1 restored copy

    Examples:
      | fault      | written           | received |
      | an instant | nothing, 11       | 7 9 11   |
      | an outage  | nothing, 11       | 7 9 11   |
      | an outage  | other, 11         | 7 9 11   |
      | an outage  | other, other, 11  | 7 9 11   |
      | an outage  | 9, 11, other      | 7 9 11   |

  Scenario: Daemons write their records again after the store was restored
    Given 60 registered daemons of which 20 registered after the store was copied
    When the store is restored from its copy
    Then all 60 daemons are registered again within 5 s
    And at most 130 records were written in any second

  Scenario: Of any two registering daemons at least one finds the other
    Given the platform's store with version 7
    When 5 daemons register and list members at random times
    Then of any two of them at least one knows the other

  # Guards against a removal that is applied after the next process has registered.
  Scenario: A daemon that is restarted stays registered although its removal comes late
    When a daemon is restarted while the store applies its removal from the registry late
    Then it is registered 10 s after its start

  Scenario: An append without a response is not mistaken for a refused one
    Given the platform's store with version 7
    When the response to an append is lost
    Then the append may have taken effect

  Scenario Outline: A valid heartbeat becomes an announcement, others are ignored
    When a heartbeat has the body <body>
    Then it announces "<announced>"

    Examples:
      | body                                                                                                                                        | announced                       |
      | {"service":"a","address":"10.1.0.38:8080","zone":"b","version":"v1","slots":4,"state":"ready","warmup-left":"0ms","sequence":4,"born":9}    | a/i-1 serving good 10.1.0.38    |
      | {"service":"a","address":"10.1.0.38:8080","zone":"b","version":"v1","slots":4,"state":"ready","warmup-left":"1.5s","sequence":4,"born":9}   | a/i-1 serving warming 10.1.0.38 |
      | {"service":"a","address":"10.1.0.38:8080","zone":"b","version":"v1","slots":4,"state":"draining","warmup-left":"0ms","sequence":4,"born":9} | a/i-1 leaving good 10.1.0.38    |
      | {"service":"a","address":"10.1.0.38:8080","zone":"b","version":"v1","slots":4,"state":"ready","warmup-left":"0ms","sequence":4}             | nothing                         |
      | {"service":"a","address":"10.1.0.38:8080","zone":"b","version":"v1","slots":4,"state":"odd","warmup-left":"0ms","sequence":4,"born":9}      | nothing                         |
      | {"service":"a","address":"10.1.0.39:8080","zone":"b","version":"v1","slots":4,"state":"ready","warmup-left":"0ms","sequence":4,"born":9}    | nothing                         |
      | {"service":"a","address":"10.1.0.38:8080","zone":"b","version":"v1","slots":"4","state":"ready","warmup-left":"0ms","sequence":4,"born":9}  | nothing                         |
      | {"address":"10.1.0.38:8080","zone":"b","version":"v1","slots":4,"state":"ready","warmup-left":"0ms","sequence":4,"born":9}                  | nothing                         |
      | {"service":"a","address":"10.1.0.38:8080","zone":"b","version":"v1","slots":4,"state":"ready","warmup-left":"soon","sequence":4,"born":9}   | nothing                         |
      | [1]                                                                                                                                         | nothing                         |

  Scenario: The settings template renders settings that are accepted
    Given the platform's example settings
    When the template "deploy/settings.json" is rendered with them
    Then the settings are those of daemon "sidecar-bole-1"

  # Guards against requests that are cut although the grace has not passed.
  Scenario Outline: A shutdown takes as long as the platform's grace allows
    Given the platform's example settings with the grace <grace>
    When the template "deploy/settings.json" is rendered with them
    Then a shutdown ends <shutdown> ms after SIGTERM, and <notice> ms of that are its notice

    Examples:
      | grace   | shutdown | notice |
      | 6s      | 5700     | 2600   |
      | 10s     | 9500     | 2600   |
      | 4000ms  | 3800     | 2000   |
      | nothing | 0        | 2600   |

  # Guards against a changed setting that is neither used nor reported.
  Scenario: The settings that a running daemon takes over are documented
    Given the platform's example settings with the grace 10s
    When the template "deploy/settings.json" is rendered with them
    Then each of its settings is taken over from a changed file as "docs/design/platform.md" says
    And a change that is not taken over is logged once with its name

  Scenario: Settings with a malformed grace are refused
    Given the platform's example settings with the grace soon
    When the template "deploy/settings.json" is rendered with them
    Then they are refused with a line that names "bounds.grace"
