Feature: A verdict says whether a request may have run
  Scenario Outline: A request is resent only where a second run is impossible or harmless
    Given a request that ended with verdict "<verdict>"
    Then a resend of an idempotent request is "<idempotent>"
    And a resend of a non-idempotent request is "<other>"

    Examples:
      | verdict      | idempotent | other     |
      | not-run      | allowed    | allowed   |
      | may-have-run | allowed    | forbidden |
      | run          | forbidden  | forbidden |
