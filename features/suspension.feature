Feature: Leases, time-outs and backoffs include the time of a suspension

  A monotonic clock can stand still during a suspension. A lease measured by
  it would still look valid after another process has one.

  Scenario: No module uses a clock that excludes suspensions
    Then only the clocks and the log read a system clock

  Scenario Outline: A process that is suspended for <gap_s> s within <steps> readings
    Given a clock whose monotonic source stops during suspensions
    When it is read <steps> times during suspensions of <gap_s> s in total
    Then it has advanced by <gap_s> s, and <number> gap is reported

    Examples:
      | gap_s | steps | number |
      | 6.0   | 1     | a      |
      | 0.3   | 1     | a      |
      | 0.1   | 1     | no     |
      | 0.5   | 10    | a      |

  Scenario: A delay between the readings of the two sources is no suspension
    Given a clock whose monotonic source stops during suspensions
    When its monotonic source is read 3 s late
    Then no gap is reported, then or later

  Scenario: A lease expires during a suspension
    Given a process with such a clock
    When it gets a lease of 3 s and is suspended for 4 s
    Then its lease has expired
    And the gap is logged, counted and reported to its subscribers

  Scenario Outline: Requests that expire during a suspension reach no runner
    Given 1 gateways and 1 ranks of one group, with such a clock
    When 3 requests of 2 s wait for a connection, and a suspension of 5 s is detected <when>
    Then their status is 504 within <within_s> s, and no runner has received them

    Examples:
      | when                  | within_s |
      | at once               | 0.01     |
      | as they would be sent | 0.11     |

  Scenario: A suspension counts towards a backoff
    Given 1 gateways and 1 ranks of one group, with such a clock
    When a rank requests a backoff of 6 s, and a suspension takes 6 s
    Then the next request reaches it
