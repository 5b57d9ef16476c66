Feature: How each gateway selects runners from what it knows

  Gateways that decide alike from the same delayed reports overload one runner
  while others are idle.

  Scenario Outline: Gateways with the same reports do not all send to one runner
    Given <gateways> gateways and 16 runners of 6 slots
    And <free> of the runners have 2 requests and the others have 3
    When each gateway sends <rate> requests a second for 20 s, and each takes 1.5 s
    Then at most <most> in 100 requests are the third or later of a runner in 0.15 s

    Examples:
      | gateways | free | rate | most |
      | 11       | 1    | 5    | 30   |
      | 11       | 4    | 5    | 30   |
      | 37       | 4    | 2    | 45   |

  Scenario: A single gateway selects the least loaded runner
    Given 1 gateways and 16 runners of 6 slots
    And 1 of the runners have 2 requests and the others have 3
    When each gateway sends one request
    Then it went to the runner with 2 requests

  Scenario Outline: With infrequent reports each gateway fills its preferred subset first
    Many gateways send a few requests a second each, and reports are older
    than the time in which runners fill.
    Given <gateways> gateways in <halls> halls and <runners> runners of <slots> slots
    And runners report every <interval_s> s and the leader forwards reports every <forward_s> s
    When all send <per_s> requests a second for 12 s, and each takes 1.3 s
    Then at most <most> in 100 requests wait for a slot

    Examples:
      | gateways | halls | runners | slots | interval_s | forward_s | per_s | most |
      | 103      | 5     | 192     | 3     | 0.5        | 0.5       | 260   | 9    |
      | 37       | 3     | 72      | 5     | 0.2        | 0.2       | 140   | 0.3  |

  Scenario: Without a limit for cold runners the selection is not changed
    Given 39 gateways in 3 halls and 72 runners of 5 slots
    And runners report every 0.2 s and the leader forwards reports every 0.2 s
    And the routes limit a cold runner to 0 requests a second, which means no limit
    When all send 140 requests a second for 4 s, and each takes 1.3 s
    Then each request goes to the same runner as without limits

  Scenario: Preferred subsets follow the gateways and cover all runners
    Given 103 gateways in 5 halls and 192 runners of 3 slots
    Then each runner is in the preferred subset of one gateway of its hall
    And the same holds after 20 gateways have left
