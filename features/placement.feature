Feature: Where routed requests go, by what each gateway knows

  Scenario Outline: Gateways with the same reports do not crowd one runner
    Given <gateways> gateways and 16 runners of 6 slots
    And <free> of the runners have 2 requests and the others have 3
    When each gateway sends <rate> requests a second for 20 s, and each takes 1.5 s
    Then at most <most> in 100 requests are the third or later of a runner in 0.15 s

    Examples:
      | gateways | free | rate | most |
      | 11       | 1    | 5    | 30   |
      | 11       | 4    | 5    | 30   |
      | 37       | 4    | 2    | 45   |

  Scenario: A gateway that is alone takes the least loaded runner
    Given 1 gateways and 16 runners of 6 slots
    And 1 of the runners have 2 requests and the others have 3
    When each gateway sends one request
    Then it went to the runner with 2 requests

  Scenario Outline: With seldom reports each gateway fills its own part first
    Pattern: many gateways, each with a few requests a second, and reports
    that are older than the time in which runners fill. The figures are those
    of a played day at this size: 60 in 100 slots taken on average.
    Given <gateways> gateways in <halls> halls and <runners> runners of <slots> slots
    And reports come each <rest_s> s and are told each <told_s> s
    When all send <per_s> requests a second for 12 s, and each takes 1.3 s
    Then at most <most> in 100 requests wait for a slot

    Examples:
      | gateways | halls | runners | slots | rest_s | told_s | per_s | most |
      | 103      | 5     | 192     | 3     | 0.5    | 0.5    | 260   | 9    |
      | 37       | 3     | 72      | 5     | 0.2    | 0.2    | 140   | 0.3  |

  Scenario: Where runners bear any number nothing is bounded
    Given 39 gateways in 3 halls and 72 runners of 5 slots
    And reports come each 0.2 s and are told each 0.2 s
    And a cold runner of theirs bears 0 requests a second, which is any number
    When all send 140 requests a second for 4 s, and each takes 1.3 s
    Then each request goes where it went before there was a bound

  Scenario: Parts follow the gateways that there are, and cover all runners
    Given 103 gateways in 5 halls and 192 runners of 3 slots
    Then each runner is in the part of one gateway of its hall
    And after 20 gateways have gone that holds again
