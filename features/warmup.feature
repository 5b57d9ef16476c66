Feature: Runners that can be cold get no more requests than they sustain

  The limit is on the sum over all gateways, including those that are
  partitioned, have just started or hold an old view. A cold runner that gets
  more fails, and its group with it.

  Scenario Outline: Power returns to 39 gateways while callers are waiting
    All runners are cold, and gateways learn of them a few at a time. Without a
    limit the first of them get all waiting requests at once.
    Given 39 gateways in 3 halls and 3 groups of 24 ranks in 3 halls
    And a cold runner sustains <per_s> requests a second, limit 1.5 times that plus 5
    When power returns while callers are waiting, and 134 a second arrive (order of tasks <order>)
    Then the most requests that a runner gets in a second are 26 or <which>
    And all are served, the waiting callers within <n> s
    And refusals are at most 5 in 100 requests

    Examples:
      | per_s | order | which | n |
      | 0     | 1     | more  | 5 |
      | 0     | 134   | more  | 5 |
      | 14    | 1     | less  | 5 |

  Scenario Outline: The limit holds while views of gateways differ: <fault>
    Given a cold runner sustains 14 requests a second, limit 1.5 times that plus 5
    When <gateways> gateways send as much as they may while <fault>
    Then no runner gets more than 26 requests in any second
    And the most that one gets in a second is <some> or more

    Examples:
      | gateways | fault                                  | some |
      | 39       | gateways are killed and restart        | 13   |
      | 39       | all are killed at once, twice          | 13   |
      | 39       | a hall is lost and recovers            | 13   |
      | 39       | half are partitioned for a time        | 13   |
      | 39       | new gateways join                      | 13   |
      | 39       | restarts, hall loss, partitions, joins | 13   |
      | 66       | restarts, hall loss, partitions, joins | 13   |
      | 7        | restarts, hall loss, partitions, joins | 10   |
      | 3        | restarts, hall loss, partitions, joins | 10   |

  Scenario Outline: Each of <runners> runners has owners in its hall and in others
    Given a cold runner sustains 14 requests a second, limit 1.5 times that plus 5
    When <gateways> gateways in <halls> halls compute quotas of <runners> runners
    Then each runner has one primary owner, in its hall
    And it has owners in other halls, and quotas of at most 13 in total
    And each gateway owns at least <least> runners

    Examples:
      | gateways | halls | runners | least |
      | 1        | 1     | 3       | 3     |
      | 3        | 3     | 3       | 3     |
      | 39       | 3     | 72      | 10    |
      | 66       | 3     | 63      | 3     |
      | 103      | 5     | 192     | 10    |
      | 390      | 4     | 192     | 0     |

  Scenario: Waiting requests are sent by priority, then in order of arrival
    Given a gateway with a quota of 1 request in a window for each of 2 runners
    When requests of priorities 1 1 1 0 1 0 arrive at once
    Then requests 1 2 4 6 are sent in this order, the last two 1.05 s later
    And requests 5 3 are refused within 0.1 s with 1212, to retry after 2.1 s

  Scenario: A retry counts as a send, and other requests wait for their quota
    Given a gateway with a quota of 1 request in a window for each of 2 runners
    When the first of 2 requests fails at its first runner
    Then its retry goes to the other runner
    And the second request waits for 1.05 s

  Scenario Outline: A send that <what> uses no quota
    Given a gateway with a quota of 1 request in a window for each of 2 runners
    When 2 requests arrive, and the send of each <what>
    Then another request gets a runner at once

    Examples:
      | what                         |
      | reaches another runner       |
      | is given up before it begins |

  Scenario: A gateway that has just started sends nothing in its first second
    Given a gateway with a quota of 1 request in a window for each of 2 runners
    And it started 0.25 s ago
    When a request arrives
    Then it is sent 0.8 s later

  Scenario: A gateway that owns no runner refuses requests
    Given a gateway with a quota of 1 request in a window for each of 2 runners
    And other gateways own both runners
    When a request arrives, and another one 5 s later
    Then the first waits for a runner, and the other is refused at once with 1212

  Scenario: A cold runner gets less than a warm one
    Given a gateway with a quota of 1 request in a window for each of 2 runners
    And the first of them is cold, and both have 1 of 5 slots in use
    When 40 requests arrive, one every 2 s
    Then all go to the second runner

  Scenario Outline: Quotas keep to the limit where views lack <who>
    Given a cold runner sustains 14 requests a second, limit 1.5 times that plus 5
    And 39 gateways in 3 halls that <know>
    When each gets a view without <who>, and <after_s> s later sends all it can
    Then each runner of hall h0 gets at most <most> requests in all

    Examples:
      | know              | who               | after_s | most |
      | know all others   | all others        | 2       | 13   |
      | have just started | others of hall h0 | 2       | 26   |

  Scenario: A gateway keeps to its quota while new routes raise the limit
    Given a gateway that sends as much as it may to a runner that it owns
    When routes set a limit of 4, and 2 s later of 40 requests a second
    Then it sends no more than its quota in any window

  Scenario Outline: Owners of a runner in a hall without gateways, limit <limit>
    When 2 gateways elsewhere compute quotas with a limit of <limit> a second
    Then it has an owner, and quotas of at most <most> in total

    Examples:
      | limit | most |
      | 2     | 1    |
      | 6     | 3    |
      | 26    | 13   |

  Scenario: A runner that restarts in another hall gets the owners of that hall
    Given a gateway that knows a runner in hall h0
    When the runner restarts under its id in hall h1
    Then its quota is that of a gateway that never knew the runner in h0
