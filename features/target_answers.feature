Feature: A gate forwards only its backend server's answer to the same request

  Scenario Outline: Each answer is classified correctly
    When the backend server answers with "<answer>"
    Then request 2 ends as "<end>"

    Examples:
      | answer                       | end                             |
      | its own answer               | 200 two                         |
      | a failure                    | 500 two                         |
      | 421                          | not-executed not-run            |
      | 503 not executed             | not-executed not-run            |
      | 503                          | 503 two                         |
      | no identifier                | connection-failed may-have-run  |
      | an encoded body              | connection-failed may-have-run  |
      | a late answer first          | 200 two                         |
      | two late answers first       | 200 two                         |
      | a late answer only           | connection-failed may-have-run  |
      | a late answer without length | connection-failed may-have-run  |
      | half of its answer           | truncated-answer may-have-run   |
      | no length and an end         | 200 two                         |
      | a length beside chunks       | 200 two                         |
      | bytes that are no answer     | connection-failed may-have-run  |

  # Guards against a part of an answer that looks whole: a socket that is closed within an
  # upload ends the answer like a server that has only ended its side.
  Scenario Outline: An answer without length that ends within an upload is not whole
    When the backend server <answers> while an upload is being sent, and <end>
    Then the upload ends as "<outcome>"

    Examples:
      | answers                 | end                           | outcome                       |
      | answers 200             | closes its socket             | truncated-answer may-have-run |
      | answers 200             | resets the connection         | truncated-answer may-have-run |
      | answers 200             | closes its socket late        | truncated-answer may-have-run |
      | answers 200             | ends its side and reads on    | 200 part                      |
      | answers 200 in chunks   | closes its socket             | 200 part                      |
      | answers 413             | closes its socket             | 413 part                      |
      | answers 200 after it    | closes its socket             | 200 part                      |

  # Guards against an answer whose status is none, passed on as an answer.
  Scenario Outline: A status line that HTTP doesn't know is no answer
    When the backend server answers with the status "<status>"
    Then request 2 ends as "connection-failed may-have-run"

    Examples:
      | status |
      | 000    |
      | 001    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |
      | 20     |
      | 2000   |
      | 0200   |
      | -20    |
      | +20    |
      | 2e2    |
      | none   |

  Scenario: Every attempt carries the time left, the instance and the caller's service
    When the backend server answers with "its own answer"
    Then it received the headers
      | name                          | value  |
      | wagtailstep-request-id        | two    |
      | wagtailstep-expected-instance | i-1    |
      | wagtailstep-caller-service    | portal |
      | wagtailstep-timeout-ms        | 2000   |

  Scenario: The slot is free after something else cancelled the sending
    When something cancels what the gate sends to the backend server
    Then the gate's slots are all free

  Scenario Outline: How the outcome of a request counts for its backend server
    Then a request that ended as "<end>" counts as "<work>"

    Examples:
      | end                                 | work        |
      | status 200                          | done        |
      | status 404                          | done        |
      | status 500                          | failed      |
      | status 504                          | late        |
      | a deadline                          | late        |
      | a lost connection                   | broken      |
      | no connection                       | unreachable |
      | turned away                         | turned-away |
      | a body that the caller cut          | nothing     |
      | an answer that the server broke off | broken      |
      | an answer that the caller left      | nothing     |
