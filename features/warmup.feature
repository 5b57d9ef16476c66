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
      | 0     | more  | 3 |
      | 14    | less  | 4 |

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
