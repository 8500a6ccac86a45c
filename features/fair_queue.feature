Feature: The gate's queue shares a backend server among client accounts of the same rank

  # Guards against a change of the order in deployments without client accounts.
  Scenario: Without accounts, requests run by priority, due time and arrival
    Given a gate beside a backend server with 1 slots
    And requests that take 100 ms each have run
    When 300 rounds of requests without accounts wait and run
    Then each request ran by priority, due time and arrival

  # Guards against other refusals in deployments without client accounts: there the
  # estimate assigns slots to requests in order of arrival, not in the queue's order.
  Scenario: Without accounts, the expected wait is the former one
    Given a gate beside a backend server with 2 slots
    And requests that take 100 ms each have run
    And requests of route "upload" that take 400 ms each have run
    When request 1 of route "upload" arrives with 30000 ms left
    And request 2 of route "sign" arrives with 30000 ms left
    And request 3 of route "upload" arrives with 20000 ms left
    And request 4 of route "sign" arrives with 10000 ms left
    And request 5 arrives that may not wait
    Then request 5 is refused as "overloaded" with verdict "not-run"
    And request 5 gets a time to retry of 500 to 500 ms

  # Guards against displacement in deployments without client accounts.
  Scenario: A waiting request without an account keeps its place in a full queue
    Given a gate beside a backend server with 1 slots
    When requests 1 to 17 arrive without an account
    And request 18 arrives with priority -1
    Then request 18 is refused as "overloaded" with verdict "not-run"
    And request 17 waits

  # Guards against an account that fills the queue and delays all others.
  Scenario: The account that has received the least service goes first
    Given a gate beside a backend server with 1 slots
    And requests that take 100 ms each have run
    When requests 1 to 4 arrive of account "busy"
    And requests 5 to 6 arrive of account "calm"
    And all requests run one after the other
    Then they ran in the order 1,5,2,6,3,4

  # Guards against an account that gets more slot time by sending long requests.
  Scenario: Service is compared by work, not by the number of requests
    Given a gate beside a backend server with 1 slots
    And requests that take 100 ms each have run
    And requests of route "upload" that take 300 ms each have run
    When request 9 arrives of account "other"
    And requests 1 to 2 for route "upload" arrive of account "long"
    And requests 3 to 6 for route "sign" arrive of account "short"
    And all requests run one after the other
    Then they ran in the order 9,1,3,4,5,2,6

  # Guards against an account whose requests take longer than is usual on their route.
  Scenario: The measured duration counts, not the expected one
    Given a gate beside a backend server with 1 slots
    And requests that take 100 ms each have run
    When requests 1 to 3 arrive of account "slow"
    And requests 4 to 6 arrive of account "fast"
    And the running request takes 350 ms
    And all requests run one after the other
    Then they ran in the order 1,4,5,6,2,3

  # Guards against an idle account that then delays the others for a long time.
  Scenario: An account saves up no service while it has no requests
    Given a gate beside a backend server with 1 slots
    And requests that take 100 ms each have run
    When requests 1 to 4 arrive of account "a"
    And requests 11 to 13 arrive of account "b"
    And 4 requests run one after the other
    And requests 21 to 23 arrive of account "c"
    And all requests run one after the other
    Then they ran in the order 1,11,2,12,3,13,21,4,22,23

  # Guards against requests that gain precedence by naming no account.
  Scenario: Requests without an account together form one account
    Given a gate beside a backend server with 1 slots
    And requests that take 100 ms each have run
    When requests 1 to 4 arrive without an account
    And requests 5 to 6 arrive of account "calm"
    And all requests run one after the other
    Then they ran in the order 1,5,2,6,3,4

  # Guards against fairness that reorders ranks.
  Scenario: A higher rank goes first, whatever service its account has received
    Given a gate beside a backend server with 1 slots
    And requests that take 100 ms each have run
    When requests 1 to 4 arrive of account "gold" with account priority 0
    And requests 5 to 6 arrive of account "calm" with account priority 1
    And all requests run one after the other
    Then they ran in the order 1,2,3,4,5,6

  # Guards against a full queue of one account that keeps all others out.
  Scenario: If the queue is full, its last request is refused instead of a new one
    Given a gate beside a backend server with 1 slots
    When requests 1 to 17 arrive of account "busy"
    And request 18 arrives of account "calm"
    Then request 17 is refused as "overloaded" with verdict "not-run"
    And request 17 gets a time to retry of 200 to 1000 ms
    And request 18 waits

  # Guards against a displaced request whose caller hears of it only at its deadline.
  Scenario: A displaced request gets its refusal without delay
    Given a gate beside a backend server with 1 slots
    When 17 requests of account "busy" wait for the gate, and one of account "calm" joins
    Then request 17 has got its refusal, and the others wait

  # Guards against a request that displaces one with precedence over it.
  Scenario: If the queue is full, a new request that would be the last is refused
    Given a gate beside a backend server with 1 slots
    When requests 1 to 16 arrive of account "calm"
    And requests 17 to 17 arrive of account "other"
    And request 18 arrives of account "calm"
    Then request 18 is refused as "overloaded" with verdict "not-run"
    And request 16 waits

  # Guards against a displaced request whose place nobody uses.
  Scenario: A new request that can't be in time displaces none
    Given a gate beside a backend server with 1 slots
    And requests that take 40 ms each have run
    When requests 1 to 17 arrive of account "busy"
    And request 18 arrives of account "calm" with 30 ms until its deadline
    Then request 18 is refused as "overloaded" with verdict "not-run"
    And request 17 waits

  # Guards against late refusals of requests that can't be served.
  Scenario: Requests that a new one makes too late are refused at once
    Given a gate beside a backend server with 1 slots
    And requests that take 400 ms each have run
    When request 1 arrives of account "busy"
    And request 2 arrives of account "busy" with 900 ms until its deadline
    Then request 2 waits
    When request 3 arrives of account "calm"
    Then request 2 is refused as "overloaded" with verdict "not-run"
    And request 2 gets a time to retry of 800 to 800 ms
    And request 3 waits

  # Guards against state that outlives the load.
  Scenario: What accounts have received is forgotten when nothing waits or runs
    Given a gate beside a backend server with 1 slots
    When requests 1 to 9 arrive of account "busy"
    And request 10 arrives of account "calm"
    And the caller of request 9 disconnects
    And all requests run one after the other
    Then the queue remembers no account

  # Guards against memory that grows with the number of accounts.
  Scenario: A queue that is never empty remembers a bounded number of accounts
    Given a gate beside a backend server with 1 slots
    And requests that take 100 ms each have run
    When 3000 accounts send one request each to a queue that is never empty
    Then the queue remembers at most 1010 accounts

  # Guards against an operator who can't tell which requests wait, and why.
  Scenario: Waiting requests are exported by rank and cause
    Given a gate beside a backend server with 1 slots
    When requests 1 to 2 arrive of account "gold" with account priority 0
    And requests 3 to 5 arrive of account "calm" with account priority 7
    Then the gate exports 1 as "wagtailstep_gate_queued" of rank "0" for cause "slots"
    And the gate exports 3 as "wagtailstep_gate_queued" of rank "3+" for cause "slots"
    And the gate exports no account

  # Guards against refusals whose cause an operator can't see.
  Scenario: Refused requests are exported by rank and cause
    Given a gate beside a backend server with 1 slots
    When requests 1 to 17 arrive of account "busy"
    And request 18 arrives of account "calm"
    And request 19 arrives of account "busy"
    Then the gate exports 1 as "wagtailstep_gate_refused_total" of rank "0" for cause "displaced"
    And the gate exports 1 as "wagtailstep_gate_refused_total" of rank "0" for cause "full"

  # Guards against refusals that are counted under another cause.
  Scenario: Requests that may not wait, come late or are overtaken are told apart
    Given a gate beside a backend server with 1 slots
    And requests that take 400 ms each have run
    When request 1 arrives of account "busy"
    And request 2 arrives of account "busy" with 700 ms until its deadline
    And request 3 arrives of account "busy" with 900 ms until its deadline
    And request 4 arrives of account "calm"
    And request 5 arrives that may not wait
    Then the gate exports 1 as "wagtailstep_gate_refused_total" of rank "0" for cause "late"
    And the gate exports 1 as "wagtailstep_gate_refused_total" of rank "0" for cause "overtaken"
    And the gate exports 1 as "wagtailstep_gate_refused_total" of rank "0" for cause "no-slot"

  # Guards against an account that costs the others their share under overload.
  Scenario Outline: One account at ten times its load takes no other's share
    Given 74 accounts of equal load, of which one sends ten times as much
    When requests arrive for 1000 s, with bursts of 2 times the capacity, by seed <seed>
    Then the worst tenth of the other accounts is served 0.95 of their mean in time
    And the busy account is not served better than that mean

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against requests of a low rank that keep slots from higher ones.
  Scenario: A lower rank is never served better than a higher one
    Given 74 accounts of equal load, of which one sends ten times as much
    And the accounts have 3 ranks
    When requests arrive for 200 s, with bursts of 2 times the capacity, by seed 3
    Then no rank is served better in time than a higher one

  Scenario: An account that was served once is not passed by thousands of new ones for ever
    Given 3000 accounts of one rank that always have a request waiting
    When 9000 requests are served
    Then each account was served at least once
