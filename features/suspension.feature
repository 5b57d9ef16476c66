Feature: What must not outlive real time counts the time of a suspension

  Scenario: No module takes another clock than the one that counts it
    Then only the clocks and the log read a clock of the system

  Scenario Outline: A process that stands still for <gap_s> s of <steps> looks
    Given a clock whose steady reading stands still while real time goes on
    When it is looked at <steps> times over a suspension of <gap_s> s in all
    Then it has gone on by <gap_s> s, and <told> gap is told

    Examples:
      | gap_s | steps | told |
      | 6.0   | 1     | a    |
      | 0.3   | 1     | a    |
      | 0.1   | 1     | no   |
      | 0.5   | 10    | a    |

  Scenario: A clock that is read late, and one that is set back
    Given a clock whose steady reading stands still while real time goes on
    When its steady reading is taken 3 s late
    Then no gap is told, then or later

  Scenario: A lease that a suspension outlasts
    Given a process on such a clock
    When it takes a lease of 3 s and is suspended for 4 s
    Then its lease is over
    And the gap is logged, counted and told to what asked for it

  Scenario Outline: Requests that a suspension outlasts reach no runner
    Given 1 gateways and 1 ranks of one group, on such a clock
    When 3 requests of 2 s wait for a connection, and 5 s are slept <noticed>
    Then they are answered 504 within <within_s> s, and no runner has seen them

    Examples:
      | noticed                           | within_s |
      | and noticed at once               | 0.01     |
      | and noticed as they would be sent | 0.11     |

  Scenario: A rest is over when it is over, however much of it was slept
    Given 1 gateways and 1 ranks of one group, on such a clock
    When a rank asks for 6 s of rest, and 6 s are slept through
    Then the next request reaches it
