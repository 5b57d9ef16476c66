Feature: Expert maps that allow for slow ranks

  Scenario Outline: A rank that is <times> times slow is relieved in one change
    Given a group of 16 ranks with 64 experts in 4 sets, 5 places and 2 spare
    And rank 3 takes <times> times its usual time
    When a map is planned
    Then it is a whole map within the places and the spare ones
    And rank 3 holds at most <experts> experts in each set
    And the slowest rank's time is at most <part> of what it was

    Examples:
      | times | experts | part |
      | 12    | 0       | 0.2  |
      | 5     | 0       | 0.4  |
      | 1.6   | 5       | 0.8  |

  Scenario: What is new to a rank is bounded where demand is uneven too
    Given a group of 16 ranks with 64 experts in 4 sets, 5 places and 2 spare
    And some experts are chosen far more than others
    And ranks 3, 7 and 11 take 12 times their usual time
    When a map is planned
    Then it is a whole map within the places and the spare ones

  Scenario: A rank that has recovered gets experts again
    Given a group of 16 ranks with 64 experts in 4 sets, 5 places and 2 spare
    And rank 3 takes 12 times its usual time
    When a map is planned and in use, and rank 3 is as usual again
    And a map is planned twice more after a shift of demand
    Then rank 3 holds at least 1 experts in each set

  Scenario: Where all ranks are slow the plan is as if none were
    Given a group of 16 ranks with 64 experts in 4 sets, 5 places and 2 spare
    And all ranks take 12 times their usual time
    When a map is planned
    Then it is a whole map within the places and the spare ones

  Scenario: Where copies take long, the few that help most come first
    Given a group of 12 ranks with 96 experts in 3 sets, whose copies take 0.4 s
    And one expert of each set gets 23 of 100 choices
    When a map is planned
    Then at most 1 experts are new to a rank over all sets
    And the slowest rank's time is at most 0.5 of what it was

  Scenario Outline: The load of <ranks> ranks is evened out in one change
    Given a group of <ranks> ranks with <experts> experts in <sets> sets and <places> places
    And the experts' shares fall by their place in the order to the power <power>
    When a map is planned
    Then the most loaded rank has at most <most> times the mean
    And at most <copies> experts are new to all ranks together

    Examples: the power is that of played days
      | ranks | experts | sets | places | power | most | copies |
      | 16    | 64      | 4    | 5      | 1.1   | 1.4  | 50     |
      | 72    | 144     | 12   | 3      | 0.7   | 1.4  | 700    |
      | 192   | 384     | 10   | 3      | 0.42  | 1.35 | 1000   |

  Scenario: What a slow rank gives away is copied by all others alike
    Given a group of 12 ranks with 96 experts in 3 sets, whose copies take 0.4 s
    And rank 3 takes 12 times its usual time
    When a map is planned
    Then at most 3 experts are new to a rank over all sets
    And rank 3 holds at most 0 experts in each set

  Scenario: Requests go past a slow runner while there is another
    Given 3 gateways and 4 runners of 6 slots
    And the first runner takes 5 times its usual time
    When each gateway sends 2 requests a second for 10 s, and each takes 1.0 s
    Then the first runner got none
