Feature: An answer to an earlier request, written once more, belongs to no later request

  Scenario Outline: A repeated refusal is not taken for the answer to a running request
    When a server repeats its refusal of a request before it answers the next one, sent with <sending>
    Then the next request ends as "<end>"

    Examples:
      | sending                        | end                            |
      | no body                        | 200 b                          |
      | a body that arrives slowly     | 200 b                          |
      | a body after 100 Continue      | 200 b                          |
      | the same identifier            | 200 a                          |

  Scenario Outline: A repeated refusal without an identifier is not taken for an answer
    When a server repeats an unidentified refusal before it answers the next one, sent with <sending>
    Then the next request ends as "<end>"

    Examples:
      | sending                    | end   |
      | no body                    | 200 b |
      | a body that arrives slowly | 200 b |

  Scenario: A refusal of another request promises nothing
    When a server answers the first request on a connection with a refusal of another one
    Then the next request ends as "connection-failed may-have-run"

  Scenario: Refusals that carry identifiers leave the connection in use
    When a server refuses 5 requests, each with its identifier
    Then it accepted 1 connection

  Scenario Outline: An answer whose head ends early is no answer
    When a server ends <end> of each answer to <count> requests, each time after other bytes
    Then each of these requests ends as "connection-failed may-have-run"

    Examples:
      | end                        | count |
      | within the head            | 40    |
      | within a head behind a 100 | 40    |
