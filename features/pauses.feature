Feature: A process that was not run acts on nothing it knew before

  Its view of routes, keys and runners is as old as the pause, whatever the
  cause of the pause is. Requests that wait in open connections are read in the
  same turn in which it runs again, before the changes that wait beside them.

  # Guards against requests that are handled by a view from before a pause.
  Scenario Outline: <request>, at an entry that was not run for <gap_s> s
    Given an entry that is not run for <gap_s> s, while all routes change and a runner drains
    When "<request>" is read as the entry runs again
    Then it gets <result> within <within_s> s

    Examples:
      | request                              | gap_s | result         | within_s |
      | a request whose route has moved      | 2.5   | runner t-1     | 0.3      |
      | a request whose route has moved      | 6     | runner t-1     | 0.3      |
      | a request whose route was dropped    | 2.5   | 404            | 0.3      |
      | a request whose route was added      | 2.5   | runner s-2     | 0.3      |
      | a request with a dropped key         | 2.5   | 401            | 0.3      |
      | a request with a new key             | 2.5   | runner s-2     | 0.3      |
      | requests to a draining runner        | 2.5   | runner s-2     | 0.3      |

  # Guards against requests that were assigned before a pause, and sent after.
  Scenario Outline: <request>, assigned before a pause of <gap_s> s
    Given an entry that is not run for <gap_s> s, while all routes change and a runner drains
    When "<request>" waits for a connection meanwhile
    Then it gets <result> within <within_s> s

    Examples:
      | request                              | gap_s | result         | within_s |
      | requests to a draining runner        | 2.2   | runner s-2     | 2.6      |
      | a request whose route has moved      | 2.2   | runner t-1     | 2.6      |
      | a request with a dropped key         | 2.2   | 401            | 2.6      |

  Scenario: An entry that is not run for half a second serves on at once
    Given an entry that is not run for 0.5 s, while nothing changes
    When "a request whose route has moved" is read as the entry runs again
    Then it gets runner s-1 or s-2 within 0.02 s
    And the entry is ready, and lists the gateways

  # Guards against waits and answers by an old view where no leader answers.
  Scenario: An entry that reaches no controller after a pause serves nothing
    Given an entry that is not run for 2.5 s, and cut off afterwards
    When "a request whose route has moved" is read as the entry runs again
    Then it gets 503 within 1.1 s, and nothing has reached a runner
    And the entry is not ready, and lists no gateways
    When the entry is no longer cut off
    Then within 1 s it is ready, and serves by the routes in force

  Scenario: An entry that was run all the while serves on where it is cut off
    Given an entry that is cut off for 6 s
    When "a request whose route has moved" is read as the entry runs again
    Then it gets runner s-1 or s-2 within 0.02 s
    And the entry is ready, and lists the gateways

  Scenario: A lease is not valid after a pause until it is renewed
    Given a lease that was granted for 3 s
    When its holder is not run for 1.5 s
    Then it is not valid, also after a grant for a renewal sent before
    And it is valid after a grant for a renewal sent later
