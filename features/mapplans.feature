Feature: Expert maps that account for slow ranks

  All ranks of a group wait for the slowest one, so one slow rank slows the
  whole group until it holds fewer experts.

  Scenario Outline: A rank that is <times> times slower is relieved in one change
    Given a group of 16 ranks with 64 experts in 4 sets, 5 slots and 2 new per change
    And rank 3 takes <times> times its usual time
    When a map is planned
    Then it is a complete map within the limits of slots and new experts
    And rank 3 holds at most <experts> experts in each set
    And the slowest rank's time is at most <share> of the time before

    Examples:
      | times | experts | share |
      | 12    | 0       | 0.2   |
      | 5     | 0       | 0.4   |
      | 1.6   | 5       | 0.8   |

  Scenario: New experts per rank are limited with uneven demand too
    Given a group of 16 ranks with 64 experts in 4 sets, 5 slots and 2 new per change
    And some experts are selected far more often than others
    And ranks 3, 7 and 11 take 12 times their usual time
    When a map is planned
    Then it is a complete map within the limits of slots and new experts

  Scenario: A recovered rank receives experts again
    Given a group of 16 ranks with 64 experts in 4 sets, 5 slots and 2 new per change
    And rank 3 takes 12 times its usual time
    When a map is planned and adopted, and rank 3 recovers
    And a map is planned twice more after a demand shift
    Then rank 3 holds at least 1 experts in each set

  Scenario: A plan is complete if all ranks are slow
    Given a group of 16 ranks with 64 experts in 4 sets, 5 slots and 2 new per change
    And all ranks take 12 times their usual time
    When a map is planned
    Then it is a complete map within the limits of slots and new experts

  Scenario: Slow copies are limited to those with the highest gain
    Given a group of 12 ranks with 96 experts in 3 sets and 0.4 s per copy
    And one expert of each set receives 23 % of the selections
    When a map is planned
    Then at most 1 experts are new to a rank over all sets
    And the slowest rank's time is at most 0.5 of the time before

  Scenario Outline: The load of <ranks> ranks is balanced in one change
    Given a group of <ranks> ranks with <experts> experts in <sets> sets and <slots> slots
    And the experts' shares follow a power law with exponent <exponent>
    When a map is planned
    Then the most loaded rank has at most <limit> times the mean load
    And at most <copies> experts are copied over all ranks

    Examples:
      | ranks | experts | sets | slots | exponent | limit | copies |
      | 16    | 64      | 4    | 5     | 1.1      | 1.4   | 50     |
      | 72    | 144     | 12   | 3     | 0.7      | 1.4   | 700    |
      | 192   | 384     | 10   | 3     | 0.42     | 1.35  | 1000   |

  Scenario: The experts of a slow rank are copied evenly to all others
    Given a group of 12 ranks with 96 experts in 3 sets and 0.4 s per copy
    And rank 3 takes 12 times its usual time
    When a map is planned
    Then at most 3 experts are new to a rank over all sets
    And rank 3 holds at most 0 experts in each set

  Scenario: A change is copied in a fraction of the time between two shifts
    Given a group of 32 ranks with 128 experts in 12 sets and 0.037 s per copy
    And the experts' shares follow a power law with exponent 1.0
    When a map is planned
    Then at most 6 experts are new to a rank over all sets
    And the most loaded rank has at most 1.4 times the mean load

  Scenario Outline: No map is planned where <fault>
    Given a group of 16 ranks with 64 experts in 4 sets, 5 slots and 2 new per change
    And some experts are selected far more often than others
    When a map is planned although <fault>
    Then planning is refused with code 1405

    Examples: reports and routes are of different models, or a rank is missing
      | fault                                     |
      | the routes name twice as many experts     |
      | the routes name half as many experts      |
      | the counts are of one set less            |
      | the counts are of one set more            |
      | a rank holds an expert beyond the counts  |
      | a rank has not reported its experts       |
      | an expert is reported by no rank          |
      | no rank has reported                      |

  Scenario: Requests avoid a slow runner while another is available
    Given 3 gateways and 4 runners of 6 slots
    And the first runner takes 5 times its usual time
    When each gateway sends 2 requests a second for 10 s, and each takes 1.0 s
    Then the first runner received no requests
