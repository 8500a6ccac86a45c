Feature: A backend server that has left stays left, whatever happens to its daemon

  # Guards against requests that reach a server after its leave was acknowledged.
  Scenario Outline: A late heartbeat doesn't bring back a server that has left
    Given a fleet of daemons with a backend server each
    When a server leaves by <call> and <disruption> <delay> ms after the acknowledgement
    And a heartbeat that it sent before arrives 4000 ms after that
    Then no daemon offers it from 2000 ms after the acknowledgement on

    Examples:
      | call     | disruption                                | delay |
      | DELETE   | its daemon is killed                      | 200   |
      | DELETE   | its daemon is killed                      | 20    |
      | draining | its daemon is killed                      | 300   |
      | DELETE   | all daemons are killed                    | 20    |
      | DELETE   | nothing happens                           | 200   |

  # Guards against an acknowledgement that only processes remember: after a kill of all
  # of them, a late heartbeat brought the server back.
  Scenario Outline: A leave is acknowledged only once it is recorded
    Given a fleet of daemons with a backend server each
    When a server leaves by <call> <times> times while the store <trouble>
    And all daemons are killed 300 ms after that, and the store is back
    And a heartbeat that it sent before arrives 4600 ms after that
    Then no leave was acknowledged that a daemon forgot

    Examples:
      | call     | times | trouble                 |
      | DELETE   | 1     | refuses calls           |
      | draining | 1     | refuses calls           |
      | DELETE   | 3     | refuses calls           |
      | draining | 3     | refuses calls           |
      | DELETE   | 2     | gives no answers        |
      | DELETE   | 2     | loses an answer         |
      | DELETE   | 2     | applies a write late    |

  Scenario Outline: A leave is acknowledged as soon as the store takes its record
    Given a fleet of daemons with a backend server each
    When a server leaves by <call> every 500 ms while the store <trouble> for 1600 ms
    And all daemons are killed 300 ms after that, and the store is back
    And a heartbeat that it sent before arrives 4600 ms after that
    Then its leave was acknowledged 700 ms after the trouble at the latest
    And no leave was acknowledged that a daemon forgot

    Examples:
      | call     | trouble       |
      | DELETE   | refuses calls |
      | draining | refuses calls |

  # Guards against a write without an answer that replaces a later one.
  Scenario: A write that the store applies late doesn't undo an acknowledged record
    Given a fleet of daemons with a backend server each
    When a server leaves and its next process leaves while the record is removed late
    And all daemons are killed 300 ms after that, and the store is back
    And a heartbeat that it sent before arrives 4600 ms after that
    Then no leave was acknowledged that a daemon forgot
    And its leave was acknowledged

  Scenario: The other daemons remember a leave that couldn't be recorded
    Given a fleet of daemons with a backend server each
    When a server leaves by DELETE 1 times while the store gives no answers
    And its daemon is killed 300 ms after that, and the store is back
    And a heartbeat that it sent before arrives 4000 ms after that
    Then no daemon offers it from 2000 ms after the last answer on

  # Guards against a heartbeat without a start time that is believed once a restarted
  # daemon has forgotten the departure, or doesn't know its server yet.
  Scenario Outline: A heartbeat of another writer doesn't bring back a server that has left
    Given a fleet of daemons with a backend server each
    When a server leaves by DELETE and <disruption> 200 ms after the acknowledgement
    And a heartbeat of it without a start time arrives <delay> ms after that
    Then no daemon offers it from 2000 ms after the acknowledgement on

    Examples:
      | disruption             | delay |
      | its daemon is killed   | 12500 |
      | all daemons are killed | 12500 |
      | nothing happens        | 12500 |
      | its daemon is killed   | 4000  |

  # Guards against a daemon that offers a departed server again after a kill of all,
  # since the store refuses its calls and nobody else tells it of the departure.
  Scenario Outline: A daemon that the store refuses is told of departures
    Given a fleet of daemons with a backend server each
    When a server leaves by <call> and <killed> killed <after> ms after that while the store <trouble> its daemon
    And a heartbeat that it sent before arrives <delay> ms after that
    Then no daemon sends it requests from 2000 ms after the acknowledgement on

    Examples:
      | call     | killed          | after | trouble            | delay |
      | DELETE   | all daemons are | 200   | refuses            | 1250  |
      | DELETE   | all daemons are | 200   | refuses            | 1500  |
      | DELETE   | all daemons are | 200   | refuses            | 3000  |
      | draining | all daemons are | 200   | refuses            | 3000  |
      | DELETE   | all daemons are | 200   | gives no answer to | 1500  |
      | DELETE   | all daemons are | 200   | gives no answer to | 3000  |
      | DELETE   | its daemon is   | 200   | refuses            | 1250  |
      | DELETE   | its daemon is   | 200   | gives no answer to | 1250  |

  # Guards against a leave that the other daemons don't hear of, since the daemon ends
  # right after its acknowledgement.
  Scenario Outline: The other daemons hear of a leave before it is acknowledged
    Given a fleet of daemons with a backend server each
    When a server leaves by <call> at <phase> ms of a tick, and its daemon ends at once
    Then no daemon sends it requests from 1000 ms after the acknowledgement on

    Examples:
      | call     | phase |
      | DELETE   | 0     |
      | DELETE   | 40    |
      | DELETE   | 84    |
      | draining | 0     |
      | draining | 84    |

  # Guards against sound servers that are left out until the store serves their daemon.
  Scenario Outline: A daemon that the store refuses uses a sound server at once
    Given a fleet of daemons with a backend server each
    When <killed> killed beside a sound server while the store <trouble> its daemon
    Then its daemon sends it requests 300 ms after it has a table

    Examples:
      | killed          | trouble            |
      | all daemons are | refuses            |
      | all daemons are | gives no answer to |
      | its daemon is   | refuses            |
      | its daemon is   | gives no answer to |

  # Guards against a daemon that knows nobody after a restart and serves nothing for as
  # long as the store refuses its calls.
  Scenario Outline: A daemon that the store refuses joins the others after a restart
    Given a fleet of daemons with a backend server each
    When its daemon is killed beside a sound server while the store <trouble> its daemon
    Then its daemon has a table 2500 ms after its start

    Examples:
      | trouble            |
      | refuses            |
      | gives no answer to |

  # Guards against sound servers that are left out for as long as nobody can read.
  Scenario Outline: A daemon waits for unknown departures for a limited time only
    Given a daemon that has just started beside another one
    When it has a table after <table> ms and <answer> after <after> ms
    Then it offers the servers beside it from <offered> ms on

    Examples:
      | table | answer                          | after | offered |
      | 400   | no answer                       | 0     | 1400    |
      | 20000 | no answer                       | 0     | 10000   |
      | 400   | the records                     | 600   | 600     |
      | 400   | all that another daemon heard   | 600   | 600     |
      | 400   | records for its earlier process | 600   | 1400    |
      | 400   | some departures                 | 600   | 1400    |
      | 5000  | its own read                    | 200   | 200     |

  Scenario: A new process of a server that has left is offered as soon as before
    Given a fleet of daemons with a backend server each
    When a server leaves by DELETE and its daemon is killed 200 ms after the acknowledgement
    And a new process of the server sends a heartbeat 1500 ms after that
    Then all daemons offer it 300 ms after its heartbeat

  Scenario Outline: A daemon that is killed beside a sound server offers it as soon as before
    Given a fleet of daemons with a backend server each
    When <disruption> beside a sound server
    Then all daemons offer it 300 ms after its heartbeat

    Examples:
      | disruption                               |
      | its daemon is killed                     |
      | its daemon is killed with the store slow |

  Scenario: Departures are forgotten by the store and the daemons
    Given a fleet of daemons with a backend server each
    When a server leaves by DELETE and nothing happens 200 ms after the acknowledgement
    And 15000 ms pass after its departure
    Then neither the store nor a daemon knows of a departure
