Feature: Runners that can turn cold get no more than they bear

  The sum over all gateways counts, also over those that are cut off, have
  just started or hold an old view. A cold runner that gets more falls over,
  and breaks its group with it.

  Scenario Outline: All power returns to 39 gateways and callers that waited
    Pattern: all runners are cold, and gateways learn of them a few at a time.
    What waited for the first of them goes out at once. Where runners bear any
    number nothing is bounded: that is the fault.
    Given 39 gateways in 3 halls and 3 groups of 24 ranks in 3 halls
    And a cold runner bears <per_s> requests a second, 1.5 times that and 5 more
    When all power returns to callers that waited, and 134 a second come
    Then the most that a runner gets in a second is 26 or <which>
    And all are served, those that waited within <n> s
    And at most 5 in 100 are refused once

    Examples:
      | per_s | which | n |
      | 0     | more  | 5 |
      | 14    | less  | 5 |

  Scenario Outline: The bound holds whatever gateways know: <fault>
    Given a cold runner bears 14 requests a second, 1.5 times that and 5 more
    When <gateways> gateways send all that they may while <fault>
    Then no runner gets over 26 in any second
    And some get <some> or more

    Examples:
      | gateways | fault                                | some |
      | 39       | gateways are killed and start again  | 13   |
      | 39       | all are killed at one moment, twice  | 13   |
      | 39       | a hall is lost and comes back        | 13   |
      | 39       | half are cut off for a time          | 13   |
      | 39       | new gateways join                    | 13   |
      | 39       | all but the second at once           | 13   |
      | 66       | all but the second at once           | 13   |
      | 7        | all but the second at once           | 10   |
      | 3        | all but the second at once           | 10   |

  Scenario Outline: Each runner of <runners> has owners in its hall and elsewhere
    Given a cold runner bears 14 requests a second, 1.5 times that and 5 more
    When <gateways> gateways in <halls> halls share <runners> runners
    Then each runner has one first owner, in its hall
    And it has owners in other halls, and its parts add up to 13 at most
    And each gateway owns <least> runners at least

    Examples:
      | gateways | halls | runners | least |
      | 1        | 1     | 3       | 3     |
      | 3        | 3     | 3       | 3     |
      | 39       | 3     | 72      | 10    |
      | 66       | 3     | 63      | 3     |
      | 103      | 5     | 192     | 10    |
      | 390      | 4     | 192     | 0     |

  Scenario: What waits goes out by urgency, then in order of arrival
    Given a gateway that may send 1 request in a window to each of 2 runners
    When requests of priorities 1 1 1 0 1 0 come at one moment
    Then 1 2 4 6 are sent in this order, the last two 1.05 s later
    And 5 3 are refused within 0.1 s with 1212, to come back after 2.1 s

  Scenario: A second try is counted, and waits for another runner
    Given a gateway that may send 1 request in a window to each of 2 runners
    When the first of 2 requests fails at its first runner
    Then its second try goes to the other runner
    And the second request waits for 1.05 s

  Scenario Outline: A send that <what> takes no place
    Given a gateway that may send 1 request in a window to each of 2 runners
    When 2 requests come, and the sends are such that each <what>
    Then another request finds a runner at once

    Examples:
      | what                               |
      | is answered that another was meant |
      | never left                         |

  Scenario: A gateway that has just started sends nothing in its first second
    Given a gateway that may send 1 request in a window to each of 2 runners
    And it has started 0.25 s ago
    When a request comes
    Then it is sent 0.8 s later

  Scenario: A gateway all of whose runners have other owners says so
    Given a gateway that may send 1 request in a window to each of 2 runners
    And other gateways own both
    When a request comes, and another one 5 s later
    Then the first waits for a runner, and the other is refused at once with 1212

  Scenario: A cold runner gets less than a warm one
    Given a gateway that may send 1 request in a window to each of 2 runners
    And the first of them is cold, and both have 1 of 5 slots taken
    When 40 requests come, each 2 s after the other
    Then all go to the second

  Scenario Outline: Owners where views lack <who>
    Given a cold runner bears 14 requests a second, 1.5 times that and 5 more
    And 39 gateways in 3 halls that <know>
    When each gets a view without <who>, and <after_s> s later sends all it may
    Then the runners of hall h0 get at most <most> from all together

    Examples:
      | know             | who                        | after_s | most |
      | know all others  | any other                  | 2       | 13   |
      | have just begun  | others of hall h0          | 2       | 26   |

  Scenario: The routes raise what a cold runner bears while requests go on
    Given a gateway that sends all that it may to a runner of its own
    When the routes let a cold runner bear 4, and 2 s later 40 requests a second
    Then it sends no more than its part in any window

  Scenario Outline: Owners of a runner in a hall without gateways, bound <bound>
    When 2 gateways elsewhere share a runner that bears <bound> in a second
    Then it has an owner, and its parts add up to <most> at most

    Examples:
      | bound | most |
      | 2     | 1    |
      | 6     | 3    |
      | 26    | 13   |

  Scenario: A runner that comes back in another hall has the owners of that hall
    Given a gateway that knows a runner in hall h0
    When the runner starts again under its id in hall h1
    Then the gateway has the part there of one that never knew the other place
