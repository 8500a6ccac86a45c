Feature: Settings are validated at the start and when their file changes
  Scenario: The annotated example is valid
    Then the file "examples/daemon.json" contains valid daemon settings

  Scenario Outline: An invalid setting is refused with one line that names the key
    Given the annotated example with <change>
    Then it is refused with one line that contains "<text>"

    Examples:
      | change                                | text                            |
      | {"weight": 1}                         | unknown key weight              |
      | {"requests": {"queue": 1}}            | unknown key requests.queue      |
      | {"requests": {"queue_length": "16"}}  | key requests.queue_length: '16' |
      | {"requests": {"queue_length": -1}}    | key requests.queue_length: -1   |
      | {"log": {"poll_ms": 0}}               | key log.poll_ms: 0              |
      | {"caller_address": "here"}            | give an address as host:port    |
      | {"caller_address": "a:99999"}         | give an address as host:port    |
      | {"membership": {"seeds": ["x"]}}      | key membership.seeds            |
      | {"log_level": "loud"}                 | DEBUG, INFO, WARNING, ERROR     |
      | {"daemon_id": 3}                      | give a string in double quotes  |
      | {"seed": true}                        | give a whole number             |
      | {"availability_zone": "a b"}          | letters, digits                 |

  Scenario: A missing key is named
    Given the annotated example without "daemon_id"
    Then it is refused with one line that contains "key daemon_id is missing"

  Scenario Outline: A file that changes while the daemon runs is applied or reported once
    Given a daemon started with log level "INFO"
    When its settings file is changed by <change> and checked 3 times
    Then one line is logged that contains "<text>"
    And the log level is "<level>"

    Examples:
      | change                  | text                                   | level |
      | {"log_level": "ERROR"}  | settings-reloaded needs_restart=False  | ERROR |
      | {"seed": 7}             | settings-reloaded needs_restart=True   | INFO  |
      | {"log_level": "loud"}   | settings-not-reloaded                  | INFO  |
      | {}                      |                                        | INFO  |

  Scenario: Checking the file of a running daemon compiles no code
    Given a daemon started with log level "INFO"
    When its settings file is checked 3 times while compilations are counted
    Then no code was compiled
