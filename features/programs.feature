Feature: A wrong argument prints one line and gives exit code 2
  Scenario Outline: A wrong argument starts nothing and shows no traceback
    When the program "<program>" runs with "<arguments>"
    Then it ends with code <code> and one line that contains "<text>"

    Examples:
      | program  | arguments                                  | code | text                         |
      | daemon   |                                            | 2    | no command was given         |
      | daemon   | run                                        | 2    | file                         |
      | daemon   | run /nowhere.json                          | 2    | /nowhere.json: can't be read |
      | daemon   | check examples/daemon.json more            | 2    | more                         |
      | daemon   | stop                                       | 2    | stop                         |
      | timeline | show                                       | 2    | no daemon was named          |
      | timeline | show --format=xml a:1                      | 2    | give text or chrome          |
      | timeline | around noon x.log                          | 2    | 'noon' is not allowed        |
      | timeline | causes                                     | 2    | no log was named             |
      | timeline | show nowhere                               | 2    | give host:port               |
      | fakes    | log --address=nowhere                      | 2    | 'nowhere'                    |
      | fakes    | log --appends_per_s=many                   | 2    | key appends_per_s: 'many'    |
      | fakes    | log --run_time_s=0                         | 2    | key run_time_s: 0            |
      | fakes    | backend                                    | 2    | service                      |
      | fakes    | backend contracts --slots=abc              | 2    | key slots: 'abc'             |
      | fakes    | backend contracts --slots=0                | 2    | key slots: 0                 |
      | fakes    | backend contracts --address=1:1:1          | 2    | key address: '1:1:1'         |
      | fakes    | backend contracts --address=host.invalid:1 | 2    | can't be listened on         |
      | fakes    | backends /nowhere.json                     | 2    | /nowhere.json: can't be read |
      | platform | check                                      | 2    | it names the settings file   |
      | platform | check more                                 | 2    | more                         |
      | platform | stop                                       | 2    | stop                         |
      | platform |                                            | 2    | no command was given         |

  Scenario: A daemon whose address is in use reports it
    Given a settings file whose caller address is in use
    When the daemon is run with that file
    Then it ends with code 2 and one line that contains "can't be used"

  Scenario: The platform's program loads no module that needs the log service
    When a fresh interpreter loads the platform's program
    Then no module of the log client, evidence or ejection is loaded

  # Guards against a daemon that ends when its settings change while it starts.
  Scenario: The platform's program ignores SIGHUP until its settings are read
    When the platform's program is about to be imported
    Then it ignores SIGHUP
