Feature: Operators edit the table with wagtailstep-table
  Background:
    Given a log service for the table program
    And the table program ran "edit service contracts --floor_weight=2 --unlisted_servers=4 --reason=start"

  Scenario Outline: A wrong argument prints one line and changes nothing
    When the table program runs "<arguments>"
    Then it exits with <code> and one line that contains "<message>"
    And the table in the log has version 1

    Examples:
      | arguments                                              | code | message                                  |
      | edit service contracts --floor_weight=x --reason=r     | 2    | column floor_weight: 'x' is not allowed, allowed is a number |
      | edit service contracts --floor_weight=-1 --reason=r    | 2    | allowed is 0 to 1e+06                    |
      | edit service contracts --flor=1 --reason=r             | 2    | column flor: unknown                     |
      | edit service contracts --floor_weight=1                | 2    | reason                                   |
      | edit server contracts --weight=1 --reason=r            | 2    | kind: 'server' is not allowed            |
      | edit service contracts --reason=r                      | 2    | either --remove or columns               |
      | edit backend_server contracts/a --weight=1 --reason=r  | 2    | service/host:port                        |
      | edit service contracts --floor_weight=5 --reason=r     | 3    | floor_weight: 5 can't be met             |
      | edit service contracts --remove --floor_weight=1 --reason=r | 2 | either --remove or columns             |
      | apply /nonexistent.csv --reason=r                      | 2    | can't be read                            |
      | show service --version=x                               | 2    | --version='x' is not allowed             |
      | revert 7 --reason=r                                    | 3    | version 7                                |
      | history --limit=0                                      | 2    | --limit=0 is not allowed                 |
      | shwo                                                   | 2    | shwo                                     |
      | show --frobnicate=1                                    | 2    | frobnicate                               |
      | outcome nothing                                        | 4    | edit nothing is not in the log           |
      | show --log=nowhere                                     | 2    | 'nowhere' is not host:port               |

  Scenario: A dry run shows capacity against the floor and changes nothing
    When the table program runs "edit service contracts --unlisted_servers=3 --reason=r --dry_run"
    Then it exits with 0 and prints "service=contracts capacity=4->3 floor=2->2"
    And the table in the log has version 1

  Scenario: The history shows who changed the table and why
    When the table program runs "edit service contracts --drain_limit_s=9 --author=hana --reason='shorter drains'"
    Then it exits with 0 and prints "version=2"
    When the table program runs "history"
    Then it exits with 0 and prints "author=hana reason="shorter drains""

  Scenario: A revert creates a new version
    When the table program runs "edit service contracts --floor_weight=4 --reason=r"
    And the table program runs "revert 1 --reason=back"
    Then it exits with 0 and prints "floor_weight=4->2"
    And the table in the log has version 3

  Scenario: Of two operators who change the same row, the second is refused and told why
    Given the table was exported to a file for each of two operators
    When the first operator changes "contracts,2," to "contracts,3," and applies the file
    Then it exits with 0 and prints "version=2"
    When the second operator changes "contracts,2," to "contracts,4," and applies the file
    Then it exits with 3 and one line that contains "was changed by edit"
    And the table in the log has version 2

  Scenario: Two operators who change different rows both succeed
    Given the table program ran "edit service archive --reason=new"
    And the table was exported to a file for each of two operators
    When the first operator changes "contracts,2," to "contracts,3," and applies the file
    And the second operator changes "archive,0," to "archive,0,8" and applies the file
    Then it exits with 0 and prints "version=4"
    When the table program runs "show service"
    Then it exits with 0 and prints "contracts floor_weight=3"
    And it prints "archive floor_weight=0 drain_limit_s=830"

  Scenario: A row that is missing in the file is not removed without --remove
    Given the table program ran "edit route contracts/sign --timeout_ms=900 --reason=new"
    And the table was exported to a file for each of two operators
    When the first operator deletes the line "route" and applies the file
    Then it exits with 2 and one line that contains "pass --remove"
    And the table in the log has version 2

  Scenario: An edit whose acknowledgment is lost is applied once
    When the log loses the next 1 acknowledgments
    And the table program runs "edit service contracts --drain_limit_s=9 --reason=r"
    Then it exits with 0 and prints "accepted"
    And the table in the log has version 2

  Scenario: An edit while the log is unavailable fails
    When the log is unavailable to the table program
    And the table program runs "edit service contracts --drain_limit_s=9 --reason=r"
    Then it exits with 1 and one line that contains "the log"

  Scenario: The status shows which daemons are behind and since when
    Given the table program ran "edit service contracts --drain_limit_s=9 --reason=r"
    And daemons that report this state of the table
      | address | version | known |
      | d1:1    | 2       | yes   |
      | d2:1    | 1       | yes   |
      | d3:1    | 0       | no    |
      | d4:1    |         |       |
    When the table program runs "status d1:1 d2:1 d3:1 d4:1"
    Then it exits with 5 and prints "daemon=d1:1 address=d1:1 version=2"
    And it prints "state=in-force"
    And it prints "state=behind behind_since=20"
    And it prints "daemon=d3:1 address=d3:1 state=no-table"
    And it prints "daemon=d4:1 state=unreachable why="no answer""
    And it prints "newest_version=2 log=read daemons=4 in_force=1 behind=2 unreachable=1"

  Scenario: The status works while the log is unavailable
    Given daemons that report this state of the table
      | address | version | known |
      | d1:1    | 7       | yes   |
      | d2:1    | 6       | yes   |
    When the log is unavailable to the table program
    And the table program runs "status d1:1 d2:1"
    Then it exits with 0 and prints "newest_version=7 log=unreachable daemons=2 in_force=1 behind=1"

  Scenario: A watch shows new edits and where they are in force
    Given daemons that report this state of the table
      | address | version | known |
      | d1:1    | 1       | yes   |
    When the table program runs "watch d1:1 --interval_s=0.01 --run_time_s=0.02"
    Then it exits with 0 and prints "in_force=1 behind=0"

  Scenario: A large import is split into several edits by service
    Given a CSV file of 460 services with 10 client accounts each
    When the table program imports the file
    Then it exits with 0 and prints "accepted"
    And the table in the log has version 7
    When the table program imports the file
    Then it exits with 0 and prints "unchanged version=7"

  Scenario: A large edit that can't be split is refused before it is appended
    Given a CSV file of 1 services with 9000 client accounts each
    When the table program imports the file
    Then it exits with 2 and one line that contains "allowed is at most 524288"
    And the table in the log has version 1

  Scenario: A table lost by the log and by all daemons is restored from a file
    Given the table was exported to a file for each of two operators
    And the records of the table expired
    And daemons that report this state of the table
      | address | version | known |
      | d1:1    | 0       | no    |
    When the table program runs "show"
    Then it exits with 1 and one line that contains "no usable snapshot"
    When the first operator restores the file as version 1 with daemon "d1:1"
    Then it exits with 2 and one line that contains "at least 2"
    When the first operator restores the file as version 9 with daemon "d1:1"
    Then it exits with 0 and prints "restored version=9"
    And the table in the log has version 9
    When the table program runs "edit service contracts --drain_limit_s=9 --reason=r"
    Then it exits with 0 and prints "version=10"

  Scenario Outline: A table that is not lost can't be restored
    Given the table was exported to a file for each of two operators
    And daemons that report this state of the table
      | address | version | known |
      | d1:1    | 1       | yes   |
      | d2:1    | 0       | no    |
      | d3:1    |         |       |
    When the first operator restores the file as version 9 with daemon "<daemon>"
    Then it exits with 3 and one line that contains "<message>"
    And the table in the log has version 1

    Examples:
      | daemon | message                          |
      | d1:1   | has version 1 of the table       |
      | d2:1   | the log still has version 1      |
      | d3:1   | does not respond                 |
