Feature: A verdict says whether a request may have run
  Scenario Outline: The system resends only what can't do harm
    Given a request that ended with verdict "<verdict>"
    Then a resend of an idempotent request is "<idempotent>"
    And a resend of a non-idempotent request is "<other>"

    Examples:
      | verdict      | idempotent | other     |
      | not-run      | allowed    | allowed   |
      | may-have-run | allowed    | forbidden |
      | run          | forbidden  | forbidden |
